#include "internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* An accepted change must be in force on every reachable proxy within this
 * time. After it, the operator is answered with the names of the proxies that
 * have not confirmed the change. */
#define ROLLOUT_TIMEOUT_MS 5000
#define PUSH_TIMEOUT_MS 1000
/* Interval at which a rollout, and a change that is not allowed yet, are
 * checked again. */
#define CHECK_INTERVAL_MS 20
/* Longest wait until the live proxies have the revision that a change is based
 * on. */
#define BASE_WAIT_MAX_MS 3000
#define PUSH_RETRY_DELAY_MS 100
/* Changes in an answer about the history of a service. */
#define HISTORY_MAX 50

/* A change by an operator: checked, made by compare-and-swap in the platform's
 * store, and rolled out to the proxies. */
typedef struct {
	proxy_t *proxy;
	/* The operator's call; NULL once it was answered. */
	operator_call_t *call;
	char service[CONFIG_NAME_SIZE];
	char writer[CONFIG_NAME_SIZE];
	char operator_name[CONFIG_NAME_SIZE];
	char *text;
	uint64_t base_revision;
	/* A change that is not allowed yet is refused after this time. */
	clock_ms_t wait_until_ms;
	/* Revision that the platform gave the accepted change. */
	uint64_t revision;
	config_rollout_t *rollout;
	struct event *timer;
	/* Pushes without an answer and pushes that wait for their repetition.
	 * The change is freed after the last one. */
	uint32_t pushes_pending;
} change_t;

/* A push of a change to a member. */
typedef struct {
	change_t *change;
	char member[MEMBERSHIP_NAME_SIZE];
} push_t;

static void push_to(change_t *change, const char *name);
static void push_later(change_t *change, const char *member);

static void change_free(change_t *change)
{
	if (change->timer)
		event_free(change->timer);
	if (change->rollout)
		config_rollout_free(change->rollout);
	free(change->text);
	free(change);
}

static void refuse(change_t *change, int status, const char *error,
		   const char *message)
{
	operator_call_answer(
		change->call, status,
		json_pack("{s:s, s:s}", "error", error, "message", message));
	change_free(change);
}

/*
 * Adds the names of the members in which the change is in force, and of the
 * members for which that is not known, which include all dead ones.
 */
static void add_names(json_t *body, const change_t *change)
{
	json_t *in_force = json_array();
	json_t *missing = json_array();
	const char *name;
	size_t i;

	for (i = 0; (name = config_rollout_unconfirmed(change->rollout, i));
	     i++)
		json_array_append_new(missing, json_string(name));
	for (i = 0; i < membership_count(change->proxy->membership); i++) {
		const membership_member_t *member =
			membership_at(change->proxy->membership, i);
		bool found = false;
		size_t j;

		for (j = 0;
		     (name = config_rollout_unconfirmed(change->rollout, j));
		     j++)
			found = found || strcmp(name, member->name) == 0;
		if (member->state == MEMBERSHIP_STATE_DEAD && !found)
			json_array_append_new(missing,
					      json_string(member->name));
		else if (!found)
			json_array_append_new(in_force,
					      json_string(member->name));
	}
	json_object_set_new(body, "in_force", in_force);
	json_object_set_new(body, "missing", missing);
}

/*
 * Answers the operator. The change is freed once no push is pending.
 */
static void finish(change_t *change)
{
	json_t *body = json_pack("{s:b, s:I}", "accepted", 1, "revision",
				 (json_int_t)change->revision);

	add_names(body, change);
	operator_call_answer(change->call, 200, body);
	change->call = NULL;
	if (change->pushes_pending == 0)
		change_free(change);
}

static bool is_over(const change_t *change)
{
	return config_rollout_state(change->rollout,
				    proxy_now(change->proxy)) !=
	       CONFIG_ROLLOUT_PENDING;
}

static void on_pushed(void *context, int error, const peer_message_t *message)
{
	push_t *push = context;
	change_t *change = push->change;
	const membership_member_t *member;

	change->pushes_pending--;
	if (!change->call) {
		if (change->pushes_pending == 0)
			change_free(change);
		free(push);
		return;
	}
	if (error == PEER_OK &&
	    message->kind == PEER_MESSAGE_CONFIGURATION_APPLIED) {
		config_rollout_report(change->rollout, push->member,
				      message->u.applied.revision);
	} else if (error != PEER_ERROR_CLOSED && !is_over(change)) {
		member = membership_find(change->proxy->membership,
					 push->member);
		if (member && member->state != MEMBERSHIP_STATE_DEAD)
			push_later(change, push->member);
	}
	free(push);
}

static peer_item_t item_of(const change_t *change)
{
	return (peer_item_t){
		.revision = change->revision,
		.service = change->service,
		.text = change->text,
		.writer = change->writer,
		.operator_name = change->operator_name,
	};
}

/*
 * Sends the change to a member. The message holds the change itself, so that it
 * can be rolled out even if the platform fails right after it accepted the
 * change.
 */
static void push_to(change_t *change, const char *name)
{
	proxy_t *proxy = change->proxy;
	const membership_member_t *member =
		membership_find(proxy->membership, name);
	peer_item_t item = item_of(change);
	peer_message_t message = {
		.kind = PEER_MESSAGE_CONFIGURATION_CHANGES,
		.u.changes = { .item_count = 1, .items = &item },
	};
	push_t *push = calloc(1, sizeof(*push));

	if (!push || !member) {
		free(push);
		return;
	}
	push->change = change;
	snprintf(push->member, sizeof(push->member), "%s", name);
	change->pushes_pending++;
	if (peer_node_request(proxy->peer, member->address, &message,
			      PUSH_TIMEOUT_MS, on_pushed, push) == PEER_OK)
		return;
	change->pushes_pending--;
	free(push);
}

static void on_push_again(evutil_socket_t fd, short what, void *context)
{
	push_t *push = context;
	change_t *change = push->change;

	(void)fd;
	(void)what;
	change->pushes_pending--;
	if (change->call && !is_over(change))
		push_to(change, push->member);
	else if (!change->call && change->pushes_pending == 0)
		change_free(change);
	free(push);
}

/*
 * Pushes the change to the member again after PUSH_RETRY_DELAY_MS. The delay
 * prevents a busy loop, as a push to a peer that refuses connections fails at
 * once.
 */
static void push_later(change_t *change, const char *member)
{
	struct timeval pause = { .tv_usec = PUSH_RETRY_DELAY_MS * 1000L };
	push_t *push = calloc(1, sizeof(*push));

	if (!push)
		return;
	push->change = change;
	snprintf(push->member, sizeof(push->member), "%s", member);
	if (event_base_once(change->proxy->base, -1, EV_TIMEOUT, on_push_again,
			    push, &pause) == 0)
		change->pushes_pending++;
	else
		free(push);
}

static void push_to_all(change_t *change)
{
	proxy_t *proxy = change->proxy;
	size_t i;

	for (i = 0; i < membership_count(proxy->membership); i++) {
		const membership_member_t *member =
			membership_at(proxy->membership, i);

		if (proxy_members_is_self(proxy, member) ||
		    member->state == MEMBERSHIP_STATE_DEAD)
			continue;
		config_rollout_expect(change->rollout, member->name);
		push_to(change, member->name);
	}
}

static void on_check(evutil_socket_t fd, short what, void *context)
{
	change_t *change = context;

	(void)fd;
	(void)what;
	if (change->call && is_over(change)) {
		event_del(change->timer);
		finish(change);
	}
}

/*
 * Rolls out a change that the platform accepted: puts it into force in this
 * proxy and pushes it to all members that are not dead. The operator is
 * answered by on_check() once all of them have confirmed the change, or after
 * ROLLOUT_TIMEOUT_MS.
 */
static void roll_out(change_t *change, uint64_t revision)
{
	struct timeval interval = { .tv_usec = CHECK_INTERVAL_MS * 1000L };
	proxy_t *proxy = change->proxy;
	peer_item_t item;

	change->revision = revision;
	item = item_of(change);
	proxy_configure_apply(proxy, &item);
	change->rollout = config_rollout_new(
		revision, proxy_now(proxy) + ROLLOUT_TIMEOUT_MS);
	change->timer =
		event_new(proxy->base, -1, EV_PERSIST, on_check, change);
	if (!change->rollout || !change->timer) {
		refuse(change, 500, "accepted",
		       "accepted, but out of memory for the rollout");
		return;
	}
	event_add(change->timer, &interval);
	push_to_all(change);
	/* Fetches the changes before this one, so that the other proxies can
	 * fetch all of them from here. */
	proxy_configure_refresh(proxy);
}

/*
 * Answers an operator whose change is not based on the current revision, with
 * that revision, its value and the operator who made it.
 */
static void answer_conflict(change_t *change, const platform_item_t *current)
{
	json_t *body = json_pack("{s:s}", "error", "conflict");

	if (current) {
		json_object_set_new(
			body, "revision",
			json_integer((json_int_t)current->revision));
		json_object_set_new(body, "winner",
				    json_string(current->operator_name));
		json_object_set_new(body, "value",
				    json_loads(current->text, 0, NULL));
	}
	operator_call_answer(change->call, 409, body);
	change_free(change);
}

static void on_changed(void *context, int error, uint64_t revision,
		       const platform_item_t *current)
{
	change_t *change = context;

	LOG_EVENT(change->proxy->log, LOG_LEVEL_NOTICE, "configuration-change",
		  LOG_TEXT("service", change->service),
		  LOG_TEXT("operator", change->operator_name),
		  LOG_UNSIGNED("revision", revision),
		  LOG_TEXT("result", error == PLATFORM_OK
					     ? "accepted"
					     : platform_error_text(error)));
	switch (error) {
	case PLATFORM_OK:
		roll_out(change, revision);
		break;
	case PLATFORM_ERROR_CONFLICT:
		answer_conflict(change, current);
		break;
	case PLATFORM_ERROR_UNKNOWN:
		refuse(change, 504, "unknown",
		       "the platform did not answer; read the configuration "
		       "before another attempt");
		break;
	default:
		refuse(change, 503, "not-run", platform_error_text(error));
		break;
	}
}

typedef enum {
	CHECK_READY,
	/* The change may be allowed once this proxy and all live members have
	 * the revision that it is based on. */
	CHECK_WAIT,
	CHECK_REFUSED,
} check_result_t;

/*
 * Checks whether a change may be sent to the platform, and writes the reason to
 * text if not. The rules for schema versions compare the change with the
 * revision that it is based on, so that this proxy must have that revision.
 */
static check_result_t check_change(const change_t *change,
				   char text[CONFIG_ERROR_TEXT_SIZE])
{
	const proxy_t *proxy = change->proxy;
	const config_item_t *item =
		config_store_find(proxy->config, change->service);
	const config_service_t *before =
		item && !item->removed ? &item->service : NULL;
	config_service_t after;

	if (*change->text == '\0')
		return CHECK_READY;
	if (config_service_parse(change->text, &after, text) != CONFIG_OK)
		return CHECK_REFUSED;
	if (strcmp(after.name, change->service) != 0) {
		snprintf(text, CONFIG_ERROR_TEXT_SIZE,
			 "name: must be that of the service");
		return CHECK_REFUSED;
	}
	if (change->base_revision > (item ? item->revision : 0)) {
		snprintf(text, CONFIG_ERROR_TEXT_SIZE,
			 "base_revision: has not reached this proxy yet");
		return CHECK_WAIT;
	}
	if (config_schema_check(before, &after, true, text) != CONFIG_OK)
		return CHECK_REFUSED;
	if (config_schema_check(
		    before, &after,
		    !item || proxy_members_have_revision(proxy, item->revision),
		    text) != CONFIG_OK)
		return CHECK_WAIT;
	return CHECK_READY;
}

static change_t *new_change(proxy_t *proxy, operator_call_t *call,
			    const operator_change_t *from)
{
	change_t *change = calloc(1, sizeof(*change));

	if (!change)
		return NULL;
	change->proxy = proxy;
	change->call = call;
	change->base_revision = from->base_revision;
	change->wait_until_ms = proxy_now(proxy) + BASE_WAIT_MAX_MS;
	snprintf(change->service, sizeof(change->service), "%s", from->service);
	snprintf(change->operator_name, sizeof(change->operator_name), "%s",
		 from->operator_name);
	snprintf(change->writer, sizeof(change->writer), "%.30s-%016llx",
		 proxy->settings.name, (unsigned long long)proxy_random());
	change->text = strdup(from->value);
	if (change->text)
		return change;
	free(change);
	return NULL;
}

static void on_check_again(evutil_socket_t fd, short what, void *context);

/*
 * Sends a change to the platform, or refuses it. A change that is not allowed
 * yet, because the proxies do not have the revision before it, is checked again
 * for up to BASE_WAIT_MAX_MS: the revisions of the members arrive with their
 * probes, which takes a few probes after an accepted change.
 */
static void send_change(change_t *change)
{
	proxy_t *proxy = change->proxy;
	struct timeval pause = { .tv_usec = CHECK_INTERVAL_MS * 1000L };
	char text[CONFIG_ERROR_TEXT_SIZE] = "";
	check_result_t check = check_change(change, text);

	if (check == CHECK_WAIT && proxy_now(proxy) < change->wait_until_ms &&
	    event_base_once(proxy->base, -1, EV_TIMEOUT, on_check_again, change,
			    &pause) == 0)
		return;
	if (check != CHECK_READY) {
		refuse(change, 400, "invalid", text);
		return;
	}
	if (platform_config_change(proxy->platform, change->service,
				   change->base_revision, change->text,
				   change->writer, change->operator_name,
				   on_changed, change) != PLATFORM_OK)
		refuse(change, 503, "not-run", "the platform is unavailable");
}

static void on_check_again(evutil_socket_t fd, short what, void *context)
{
	(void)fd;
	(void)what;
	send_change(context);
}

/*
 * Handles an operator's request to change the configuration of a service. The
 * call is answered with the accepted revision and the names of the proxies that
 * have it in force, or with the reason why the change was not made.
 */
void proxy_change_start(void *context, operator_call_t *call,
			const operator_change_t *from)
{
	proxy_t *proxy = context;
	change_t *change = new_change(proxy, call, from);

	if (!change) {
		operator_call_answer(call, 503,
				     json_pack("{s:s}", "error", "no-memory"));
		return;
	}
	send_change(change);
}

static json_t *item_json(const config_item_t *item)
{
	json_t *value = item->removed || !item->text
				? json_null()
				: json_loads(item->text, 0, NULL);

	return json_pack("{s:s, s:I, s:s, s:o}", "service", item->service.name,
			 "revision", (json_int_t)item->revision, "operator",
			 item->operator_name, "value", value);
}

/*
 * Answers an operator with the configuration that is in force in this proxy, of
 * the service or, if service is empty, of all services.
 */
void proxy_change_get(void *context, operator_call_t *call, const char *service)
{
	proxy_t *proxy = context;
	json_t *services = json_array();
	size_t i;

	for (i = 0; i < config_store_count(proxy->config); i++) {
		const config_item_t *item = config_store_at(proxy->config, i);

		if (*service == '\0' ||
		    strcmp(item->service.name, service) == 0)
			json_array_append_new(services, item_json(item));
	}
	operator_call_answer(
		call, 200,
		json_pack("{s:I, s:o}", "revision",
			  (json_int_t)proxy_configure_revision(proxy),
			  "services", services));
}

static void on_history(void *context, int error, uint64_t store_revision,
		       const platform_item_t *items, size_t count)
{
	operator_call_t *call = context;
	json_t *changes = json_array();
	size_t i;

	(void)store_revision;
	if (error != PLATFORM_OK) {
		json_decref(changes);
		operator_call_answer(call, 503,
				     json_pack("{s:s, s:s}", "error", "not-run",
					       "message",
					       platform_error_text(error)));
		return;
	}
	for (i = 0; i < count; i++) {
		json_t *value = *items[i].text == '\0'
					? json_null()
					: json_loads(items[i].text, 0, NULL);

		json_array_append_new(
			changes,
			json_pack("{s:I, s:s, s:s, s:o}", "revision",
				  (json_int_t)items[i].revision, "operator",
				  items[i].operator_name, "writer",
				  items[i].writer, "value", value));
	}
	operator_call_answer(call, 200, json_pack("{s:o}", "changes", changes));
}

/*
 * Answers an operator with the last HISTORY_MAX changes of a service, the
 * latest first, which are read from the platform.
 */
void proxy_change_history(void *context, operator_call_t *call,
			  const char *service)
{
	proxy_t *proxy = context;

	if (platform_config_history(proxy->platform, service, HISTORY_MAX,
				    on_history, call) != PLATFORM_OK)
		operator_call_answer(call, 503,
				     json_pack("{s:s}", "error", "not-run"));
}
