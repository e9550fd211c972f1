#include "internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Number of proxies in a failure domain that watch the platform's store. */
#define WATCHERS_FOR_DOMAIN 2
/* Key by which the membership chooses the watchers among the proxies. */
#define WATCHER_KEY "configuration"
/* A proxy that is not a watcher and has no configuration this long after its
 * start fetches it from the platform. Before that, a peer may provide it. */
#define FIRST_FETCH_DELAY_MS 500
#define FETCH_RETRY_DELAY_MS 1000
#define PEER_FETCH_TIMEOUT_MS 1000

/*
 * Returns the highest configuration revision that is in force in this proxy.
 */
uint64_t proxy_configure_revision(const proxy_t *proxy)
{
	return config_store_latest_revision(proxy->config);
}

/*
 * Puts the changed configuration of a service into force, or removes the
 * service if the change has no text. Returns CONFIG_OK, CONFIG_ERROR_STALE if
 * the revision is not above the one in force, or another error of
 * config_store_apply(), which is also logged and counted.
 */
int proxy_configure_apply(proxy_t *proxy, const peer_item_t *from)
{
	config_change_t change = { .revision = from->revision,
				   .text = from->text };
	char text[CONFIG_ERROR_TEXT_SIZE] = "";
	const config_item_t *item;
	int error;

	snprintf(change.service, sizeof(change.service), "%s", from->service);
	snprintf(change.writer, sizeof(change.writer), "%s", from->writer);
	snprintf(change.operator_name, sizeof(change.operator_name), "%s",
		 from->operator_name);
	error = config_store_apply(proxy->config, &change, text);
	if (error == CONFIG_ERROR_STALE)
		return error;
	if (error != CONFIG_OK) {
		counter_family_add(proxy->counters.malformed, "configuration",
				   1);
		LOG_EVENT(proxy->log, LOG_LEVEL_ERROR, "configuration-invalid",
			  LOG_TEXT("service", change.service),
			  LOG_UNSIGNED("revision", change.revision),
			  LOG_TEXT("detail", text));
		return error;
	}
	item = config_store_find(proxy->config, change.service);
	if (item && !item->removed)
		proxy_group_configure(proxy, &item->service);
	else
		proxy_group_remove(proxy, change.service);
	LOG_EVENT(proxy->log, LOG_LEVEL_NOTICE, "configuration-applied",
		  LOG_TEXT("service", change.service),
		  LOG_UNSIGNED("revision", change.revision),
		  LOG_TEXT("operator", change.operator_name));
	return CONFIG_OK;
}

/*
 * Counts the entries that the platform's client has skipped since the last
 * call, and returns their number.
 */
uint64_t proxy_configure_count_skipped(proxy_t *proxy)
{
	uint64_t total = platform_client_usage(proxy->platform).skipped_entries;
	uint64_t skipped = total - proxy->skipped_entries;

	proxy->skipped_entries = total;
	if (skipped > 0)
		counter_family_add(proxy->counters.malformed, "platform",
				   (double)skipped);
	return skipped;
}

static void log_skipped_items(proxy_t *proxy)
{
	uint64_t skipped = proxy_configure_count_skipped(proxy);

	if (skipped > 0)
		LOG_EVENT(proxy->log, LOG_LEVEL_ERROR,
			  "configuration-entries-skipped",
			  LOG_UNSIGNED("entries", skipped));
}

static void apply_platform_items(proxy_t *proxy, const platform_item_t *items,
				 size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		const peer_item_t item = {
			.revision = items[i].revision,
			.service = items[i].service,
			.text = items[i].text,
			.writer = items[i].writer,
			.operator_name = items[i].operator_name,
		};

		proxy_configure_apply(proxy, &item);
	}
}

static void on_platform_items(void *context, int error, uint64_t store_revision,
			      const platform_item_t *items, size_t count)
{
	proxy_t *proxy = context;

	proxy->fetch_pending = false;
	if (error != PLATFORM_OK) {
		LOG_EVENT(proxy->log, LOG_LEVEL_WARNING,
			  "configuration-fetch-failed",
			  LOG_TEXT("error", platform_error_text(error)));
		return;
	}
	log_skipped_items(proxy);
	apply_platform_items(proxy, items, count);
	config_store_advance(proxy->config, store_revision);
	proxy->config_known = true;
}

static void on_watch(void *context, int error, uint64_t store_revision,
		     const platform_item_t *items, size_t count)
{
	proxy_t *proxy = context;

	if (error != PLATFORM_OK) {
		/* Changes may be missed until the next watch starts, and are
		 * fetched before it. */
		LOG_EVENT(proxy->log, LOG_LEVEL_WARNING, "watch-ended",
			  LOG_TEXT("error", platform_error_text(error)));
		proxy->watch_fetch_due = true;
		return;
	}
	log_skipped_items(proxy);
	apply_platform_items(proxy, items, count);
	config_store_advance(proxy->config, store_revision);
}

/*
 * Fetches the changes after the local revision from the platform, unless a
 * fetch is pending or the delay since the last one has not passed.
 */
static void fetch_from_platform(proxy_t *proxy, clock_ms_t now_ms)
{
	if (proxy->fetch_pending || now_ms < proxy->platform_fetch_at_ms)
		return;
	proxy->platform_fetch_at_ms = now_ms + FETCH_RETRY_DELAY_MS;
	proxy->fetch_pending =
		platform_config_fetch(proxy->platform,
				      config_store_revision(proxy->config),
				      on_platform_items, proxy) == PLATFORM_OK;
	if (proxy->fetch_pending)
		proxy->watch_fetch_due = false;
}

/*
 * Fetches the changes that the platform has and this proxy has not, without
 * waiting for the delay since the last fetch. Has no effect while a fetch is
 * pending.
 */
void proxy_configure_refresh(proxy_t *proxy)
{
	proxy->platform_fetch_at_ms = 0;
	fetch_from_platform(proxy, proxy_now(proxy));
}

static void list_instances(proxy_t *proxy, clock_ms_t now_ms)
{
	if (proxy->list_pending || now_ms < proxy->list_at_ms)
		return;
	proxy->list_at_ms = now_ms + proxy->settings.list_interval_ms;
	proxy->list_pending = platform_instances_list(proxy->platform,
						      proxy_instance_list_read,
						      proxy) == PLATFORM_OK;
}

/*
 * Returns whether this proxy is a watcher of its failure domain. In normal
 * operation only the watchers call the platform.
 */
bool proxy_configure_is_watcher(const proxy_t *proxy)
{
	return membership_is_delegate(proxy->membership, WATCHER_KEY,
				      WATCHERS_FOR_DOMAIN);
}

/*
 * Keeps the copy of the configuration and the instance list up to date. A
 * watcher reads both from the platform and watches the configuration. Another
 * proxy calls the platform only until it has a configuration.
 */
void proxy_configure_tick(proxy_t *proxy, clock_ms_t now_ms)
{
	bool watcher = proxy_configure_is_watcher(proxy);

	if (now_ms - proxy->started_ms < FIRST_FETCH_DELAY_MS && !watcher)
		return;
	if (watcher || !proxy->config_known)
		list_instances(proxy, now_ms);
	if (!watcher) {
		if (platform_watch_running(proxy->platform))
			platform_watch_stop(proxy->platform);
		if (!proxy->config_known)
			fetch_from_platform(proxy, now_ms);
		return;
	}
	if (platform_watch_running(proxy->platform))
		return;
	if (!proxy->config_known || proxy->watch_fetch_due) {
		fetch_from_platform(proxy, now_ms);
		return;
	}
	if (!proxy->fetch_pending && now_ms >= proxy->platform_fetch_at_ms) {
		proxy->platform_fetch_at_ms = now_ms + FETCH_RETRY_DELAY_MS;
		platform_watch_start(proxy->platform,
				     config_store_revision(proxy->config),
				     on_watch, proxy);
	}
}

static void apply_peer_items(proxy_t *proxy,
			     const peer_configuration_changes_t *changes)
{
	uint32_t i;

	for (i = 0; i < changes->item_count; i++)
		proxy_configure_apply(proxy, &changes->items[i]);
	if (changes->complete_revision > 0) {
		config_store_advance(proxy->config, changes->complete_revision);
		proxy->config_known = true;
	}
}

static void on_peer_changes(void *context, int error,
			    const peer_message_t *message)
{
	proxy_t *proxy = context;

	proxy->peer_fetch_pending = false;
	if (error == PEER_OK &&
	    message->kind == PEER_MESSAGE_CONFIGURATION_CHANGES)
		apply_peer_items(proxy, &message->u.changes);
}

/*
 * Fetches from a member the changes that the member has and this proxy has not,
 * if the member's revisions show that there are any. Has no effect while a
 * fetch from a peer is pending.
 */
void proxy_configure_fetch_from(proxy_t *proxy,
				const membership_member_t *member)
{
	peer_message_t fetch = {
		.kind = PEER_MESSAGE_CONFIGURATION_FETCH,
		.u.fetch = { .after_revision =
				     config_store_revision(proxy->config) },
	};

	/* A pushed change raises only the latest revision, and not the revision
	 * up to which all changes are known, so that earlier changes that were
	 * missed are still fetched. */
	if (proxy->peer_fetch_pending || *member->address == '\0' ||
	    (member->revision <= config_store_revision(proxy->config) &&
	     member->latest_revision <= proxy_configure_revision(proxy)))
		return;
	proxy->peer_fetch_pending =
		peer_node_request(proxy->peer, member->address, &fetch,
				  PEER_FETCH_TIMEOUT_MS, on_peer_changes,
				  proxy) == PEER_OK;
}

/* Changes collected for the reply to a peer's fetch. */
typedef struct {
	peer_item_t *items;
	uint32_t count;
	size_t bytes;
	size_t bytes_max;
	uint64_t last_revision;
	/* A change did not fit; it and all later ones are left out. */
	bool truncated;
} fetch_items_t;

static void collect(void *context, const config_item_t *item)
{
	fetch_items_t *collection = context;
	size_t bytes = (item->text ? strlen(item->text) : 0) +
		       4 * (size_t)CONFIG_NAME_SIZE;

	if (collection->truncated || collection->count == PEER_ITEMS_MAX ||
	    collection->bytes + bytes > collection->bytes_max) {
		collection->truncated = true;
		return;
	}
	collection->bytes += bytes;
	collection->last_revision = item->revision;
	collection->items[collection->count++] = (peer_item_t){
		.revision = item->revision,
		.service = item->service.name,
		.text = item->removed || !item->text ? "" : item->text,
		.writer = item->writer,
		.operator_name = item->operator_name,
	};
}

/*
 * Replies to a peer's fetch with the changes after the revision that it names.
 * The complete revision of the reply tells up to where no change is left out.
 * If not all changes fit into the message, it is the revision of the last one
 * sent, and the peer fetches the rest next.
 */
void proxy_configure_serve_fetch(proxy_t *proxy, uint64_t link_id,
				 const peer_message_t *message)
{
	fetch_items_t collection = {
		.items = calloc(PEER_ITEMS_MAX, sizeof(peer_item_t)),
		.bytes_max = proxy->settings.peer_message_max_bytes / 2,
	};
	peer_message_t reply = { .kind = PEER_MESSAGE_CONFIGURATION_CHANGES };
	uint64_t complete = config_store_revision(proxy->config);

	if (!collection.items)
		return;
	config_store_visit_since(proxy->config, message->u.fetch.after_revision,
				 collect, &collection);
	if (collection.truncated && collection.last_revision < complete)
		complete = collection.last_revision;
	reply.u.changes = (peer_configuration_changes_t){
		.complete_revision = complete,
		.item_count = collection.count,
		.items = collection.items,
	};
	peer_node_reply(proxy->peer, link_id, message->request_id, &reply);
	free(collection.items);
}

/*
 * Applies a change that a peer pushed, and replies with the revision of the
 * change's service that is then in force in this proxy.
 */
void proxy_configure_pushed(proxy_t *proxy, uint64_t link_id,
			    const peer_message_t *message)
{
	peer_message_t reply = { .kind = PEER_MESSAGE_CONFIGURATION_APPLIED };
	const config_item_t *item;

	apply_peer_items(proxy, &message->u.changes);
	if (message->u.changes.item_count == 0)
		return;
	item = config_store_find(proxy->config,
				 message->u.changes.items[0].service);
	reply.u.applied.revision = item ? item->revision : 0;
	peer_node_reply(proxy->peer, link_id, message->request_id, &reply);
}
