#include "config.h"

#include "field.h"

static bool is_readable(const config_service_t *service, uint32_t version)
{
	return version >= service->schema_read_min &&
	       version <= service->schema_read_max;
}

/*
 * Returns the lowest version that callers may write. A version that cannot be
 * read cannot be written either.
 */
static uint32_t lowest_writable_version(const config_service_t *service)
{
	return service->schema_write_min > service->schema_read_min
		       ? service->schema_write_min
		       : service->schema_read_min;
}

/*
 * Returns true if a version that is readable in before is not readable in
 * after.
 */
static bool drops_version(const config_service_t *before,
			  const config_service_t *after)
{
	return after->schema_read_min > before->schema_read_min ||
	       after->schema_read_max < before->schema_read_max;
}

/*
 * Checks a change of the schema versions of a service from before to after:
 * - A version may be written only once every live proxy can read it.
 * - A version may become unreadable only once no live proxy lets a caller write
 *   it. schema_write_min is raised first, and schema_read_min by a later
 * change.
 *
 * Both need all_live_have_before, which says that every live proxy reports at
 * least the revision of before. A proxy with an older revision may still write
 * a version that is no longer written in before. before is NULL for a new
 * service, which may start with any versions.
 *
 * Returns CONFIG_OK, or CONFIG_ERROR_SCHEMA with the reason in text.
 */
int config_schema_check(const config_service_t *before,
			const config_service_t *after,
			bool all_live_have_before,
			char text[CONFIG_ERROR_TEXT_SIZE])
{
	bool write_version_changes;

	text[0] = '\0';
	if (!before)
		return CONFIG_OK;
	write_version_changes = after->schema_write != before->schema_write;
	if (write_version_changes && !is_readable(before, after->schema_write))
		return config_field_error(
			text, CONFIG_ERROR_SCHEMA,
			"schema_write: %u is not in the range %u to %u that "
			"is readable now",
			after->schema_write, before->schema_read_min,
			before->schema_read_max);
	if (!is_readable(after, before->schema_write))
		return config_field_error(
			text, CONFIG_ERROR_SCHEMA,
			"schema_read_min, schema_read_max: the range %u to %u "
			"leaves out %u, which is written now",
			after->schema_read_min, after->schema_read_max,
			before->schema_write);
	if (after->schema_read_min > lowest_writable_version(before))
		return config_field_error(
			text, CONFIG_ERROR_SCHEMA,
			"schema_read_min: %u is above %u, which callers may "
			"still write; raise schema_write_min first",
			after->schema_read_min,
			lowest_writable_version(before));
	if ((write_version_changes || drops_version(before, after)) &&
	    !all_live_have_before)
		return config_field_error(
			text, CONFIG_ERROR_SCHEMA,
			"%s: the revision in force has not reached every live "
			"proxy yet",
			write_version_changes
				? "schema_write"
				: "schema_read_min, schema_read_max");
	return CONFIG_OK;
}

/*
 * Checks the schema version that a caller states for a read or a write. 0
 * stands for none, which is allowed only if the service has a single readable
 * version. A write may use any version from schema_write_min to schema_write.
 *
 * Returns CONFIG_OK, or CONFIG_ERROR_SCHEMA with the allowed range in text.
 */
int config_schema_admit(const config_service_t *service, uint32_t version,
			bool write, char text[CONFIG_ERROR_TEXT_SIZE])
{
	uint32_t max = write ? service->schema_write : service->schema_read_max;
	uint32_t min = write ? lowest_writable_version(service)
			     : service->schema_read_min;

	text[0] = '\0';
	if (version == 0 &&
	    service->schema_read_min == service->schema_read_max)
		return CONFIG_OK;
	if (version == 0)
		return config_field_error(
			text, CONFIG_ERROR_SCHEMA,
			"schema_version: required, in the range %u to %u", min,
			max);
	if (version < min || version > max)
		return config_field_error(
			text, CONFIG_ERROR_SCHEMA,
			"schema_version: %u is not in the range %u to %u that "
			"may be %s",
			version, min, max, write ? "written" : "read");
	return CONFIG_OK;
}
