/*
 * Reads lists of objects of which some are no JSON that can be used.
 */
#ifndef LOOM_PLATFORM_SALVAGE_H
#define LOOM_PLATFORM_SALVAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <jansson.h>

/*
 * Parses the text of a JSON object. When it cannot be parsed as a whole, each
 * element of its array members that cannot be parsed by itself, such as one
 * nested too deeply or with a number out of range, is replaced by null, and
 * *dropped is set to their count. Returns new JSON, or NULL when that does not
 * help.
 */
json_t *plat_parse_list(const char *text, size_t size, uint32_t *dropped);

#endif
