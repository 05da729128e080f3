/*
 * Salvage of lists. The text is scanned without recursion, so that the nesting
 * of an element does not matter; only strings and brackets are told apart.
 */
#include "salvage.h"

#include <glib.h>

/* The elements of an array that is a member of the outermost object. */
#define ELEMENT_DEPTH 2U

struct scan {
	const char *text;
	size_t size;
	size_t position;
	uint32_t depth;
	bool is_in_string;
	bool is_array; /* the value at ELEMENT_DEPTH is an array */
	GString *out;
	size_t element_start; /* of the current element in text */
	uint32_t dropped;
};

/* Appends the element that ends here, or null if it cannot be parsed. */
static void end_element(struct scan *scan)
{
	const char *element = scan->text + scan->element_start;
	size_t size = scan->position - scan->element_start;
	json_t *value;

	if (size == 0)
		return;
	value = json_loadb(element, size, JSON_DECODE_ANY, NULL);
	if (value) {
		g_string_append_len(scan->out, element, (gssize)size);
		json_decref(value);
		return;
	}
	g_string_append(scan->out, "null");
	scan->dropped++;
}

/* Returns whether the scan is between the brackets of such an array. */
static bool is_in_array(const struct scan *scan)
{
	return scan->is_array && scan->depth >= ELEMENT_DEPTH;
}

static void open_bracket(struct scan *scan, char byte)
{
	if (!is_in_array(scan))
		g_string_append_c(scan->out, byte);
	scan->depth++;
	if (scan->depth == ELEMENT_DEPTH) {
		scan->is_array = byte == '[';
		scan->element_start = scan->position + 1;
	}
}

static void close_bracket(struct scan *scan, char byte)
{
	if (scan->depth == ELEMENT_DEPTH && scan->is_array) {
		end_element(scan);
		scan->is_array = false;
	}
	if (scan->depth > 0)
		scan->depth--;
	if (!is_in_array(scan))
		g_string_append_c(scan->out, byte);
}

static void scan_byte(struct scan *scan, char byte)
{
	switch (byte) {
	case '[':
	case '{':
		open_bracket(scan, byte);
		return;
	case ']':
	case '}':
		close_bracket(scan, byte);
		return;
	case ',':
		if (scan->depth == ELEMENT_DEPTH && scan->is_array) {
			end_element(scan);
			g_string_append_c(scan->out, byte);
			scan->element_start = scan->position + 1;
			return;
		}
		break;
	case '"':
		scan->is_in_string = true;
		break;
	default:
		break;
	}
	if (!is_in_array(scan))
		g_string_append_c(scan->out, byte);
}

static void scan_string_byte(struct scan *scan, char byte)
{
	if (!is_in_array(scan))
		g_string_append_c(scan->out, byte);
	if (byte == '"') {
		scan->is_in_string = false;
	} else if (byte == '\\' && scan->position + 1 < scan->size) {
		scan->position++;
		if (!is_in_array(scan))
			g_string_append_c(scan->out,
					  scan->text[scan->position]);
	}
}

json_t *plat_parse_list(const char *text, size_t size, uint32_t *dropped)
{
	json_t *root = json_loadb(text, size, 0, NULL);
	struct scan scan = { .text = text, .size = size };

	*dropped = 0;
	if (root)
		return root;
	scan.out = g_string_sized_new(size);
	for (; scan.position < size; scan.position++) {
		if (scan.is_in_string)
			scan_string_byte(&scan, text[scan.position]);
		else
			scan_byte(&scan, text[scan.position]);
	}
	if (scan.dropped > 0)
		root = json_loadb(scan.out->str, scan.out->len, 0, NULL);
	g_string_free(scan.out, TRUE);
	*dropped = root ? scan.dropped : 0;
	return root;
}
