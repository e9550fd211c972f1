#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal.h"
#include "libjson/text.h"

/* After a fence was seen, statements on the primary get this long to end before
 * they are aborted. */
#define STOP_GRACE_MS 200

/*
 * Logs that a report was not written, and delays the next one.
 */
static void delay_reports(group_t *group, const char *kind, int error)
{
	group->report_retry_ms =
		gateway_now(group->gateway) + GATEWAY_CHANGE_RETRY_MS;
	LOG_EVENT(group->gateway->log, LOG_LEVEL_WARNING, "report-not-written",
		  LOG_TEXT("service", group->name), LOG_TEXT("report", kind),
		  LOG_TEXT("error", store_error_name(error)));
}

static void on_suspicion_report_written(void *context, int error,
					const store_answer_t *answer,
					clock_ms_t sent_ms)
{
	group_t *group = context;

	(void)answer;
	(void)sent_ms;
	group->suspicion_report_pending = false;
	if (error == STORE_OK)
		return;
	group->suspicion_reported = !group->suspicion_reported;
	delay_reports(group, "doubt", error);
}

/*
 * Writes or removes this proxy's report that it suspects the primary of a
 * group.
 */
static void write_suspicion_report(group_t *group, bool suspected)
{
	gateway_t *gateway = group->gateway;
	store_change_t change = { 0 };
	char key[GATEWAY_KEY_SIZE];
	json_t *value = json_pack("{s:I,s:I,s:s}", "number",
				  (json_int_t)group->record.term, "incarnation",
				  (json_int_t)gateway->incarnation, "text",
				  group->record.primary);
	char *text = json_text_format(value);

	if (!text)
		return;
	snprintf(key, sizeof(key), GATEWAY_PREFIX "doubt/%s/%s", group->name,
		 gateway->settings->name);
	if (suspected) {
		change.writes[change.write_count++] =
			(store_write_t){ key, text };
	} else {
		change.removed[change.removed_count++] = key;
	}
	LOG_EVENT(gateway->log, LOG_LEVEL_NOTICE,
		  suspected ? "primary-suspected" : "primary-trusted",
		  LOG_TEXT("service", group->name),
		  LOG_TEXT("primary", group->record.primary),
		  LOG_UNSIGNED("term", group->record.term));
	group->suspicion_report_pending =
		gateway_era_write(gateway, &change, on_suspicion_report_written,
				  group) == STORE_OK;
	if (group->suspicion_report_pending)
		group->suspicion_reported = suspected;
	free(text);
}

static void on_stop_report_written(void *context, int error,
				   const store_answer_t *answer,
				   clock_ms_t sent_ms)
{
	group_t *group = context;

	(void)answer;
	(void)sent_ms;
	group->stop_report_pending = false;
	if (error == STORE_OK)
		return;
	group->stop_reported_revision = 0;
	delay_reports(group, "stop", error);
}

/*
 * Gives up the grant on a fenced group and writes a stop report: a proxy that
 * has reported its stop no longer acts on the term. While statements run on the
 * primary, this waits for STOP_GRACE_MS first.
 */
static void stop_on_fence(group_t *group, clock_ms_t now_ms)
{
	gateway_t *gateway = group->gateway;
	store_change_t change = { .write_count = 1 };
	const target_t *primary;
	char key[GATEWAY_KEY_SIZE];
	char value[128];

	if (group->record.fence == 0 || group->stop_report_pending ||
	    group->stop_reported_revision == group->record.revision)
		return;
	primary = gateway_group_primary(group);
	if (primary && primary->in_flight > 0 &&
	    now_ms < group->fence_seen_ms + STOP_GRACE_MS)
		return;
	if (group->grant.until_ms != 0) {
		grant_end(&group->grant);
		gateway_execute_abort_group(group);
	}
	/* A peer may still rely on a promise of this process, or of an earlier
	 * process of the same name. */
	if (now_ms < group->promised_until_ms ||
	    now_ms < gateway->started_ms + GRANT_PROMISE_MS ||
	    now_ms < group->report_retry_ms)
		return;
	snprintf(key, sizeof(key), GATEWAY_PREFIX "stop/%s/%s", group->name,
		 gateway->settings->name);
	snprintf(value, sizeof(value),
		 "{\"number\":%" PRIu64 ",\"incarnation\":%" PRIu64 "}",
		 group->record.revision, gateway->incarnation);
	change.writes[0] = (store_write_t){ key, value };
	group->stop_report_pending =
		gateway_era_write(gateway, &change, on_stop_report_written,
				  group) == STORE_OK;
	if (group->stop_report_pending)
		group->stop_reported_revision = group->record.revision;
}

/*
 * Returns true if this proxy suspects the primary of a group: it has failed, or
 * refused writes as a replica does, for PRIMARY_SUSPECT_MS, or has been
 * unlisted for longer than an entry takes to return. Once the suspicion is
 * reported, such a primary is suspected until it answers or runs a write.
 * Returns false while the targets or the record are not known.
 */
static bool is_primary_suspect(group_t *group, clock_ms_t now_ms)
{
	const target_t *primary = gateway_group_primary(group);
	clock_ms_t since_ms;

	if (group->record.revision == 0 ||
	    !mirror_complete(group->gateway->target_mirror))
		return false;
	if (!primary) {
		if (group->primary_unlisted_since_ms == 0)
			group->primary_unlisted_since_ms = now_ms;
		return now_ms >= group->primary_unlisted_since_ms +
					 GATEWAY_ENTRY_RETURN_MS;
	}
	group->primary_unlisted_since_ms = 0;
	since_ms = primary->failing_since_ms != 0 ? primary->failing_since_ms
						  : primary->read_only_since_ms;
	if (since_ms == 0)
		return false;
	return group->suspicion_reported ||
	       now_ms >= since_ms + PRIMARY_SUSPECT_MS;
}

/*
 * Writes this proxy's reports about a group when they are due: its stop on a
 * fence, and a change of its suspicion of the primary.
 */
void gateway_reports_tick(group_t *group, clock_ms_t now_ms)
{
	bool suspected = is_primary_suspect(group, now_ms);

	stop_on_fence(group, now_ms);
	if (suspected != group->suspicion_reported &&
	    !group->suspicion_report_pending &&
	    now_ms >= group->report_retry_ms &&
	    gateway_control_is_registered(group->gateway))
		write_suspicion_report(group, suspected);
}
