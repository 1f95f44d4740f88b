#include <inttypes.h>
#include <netinet/in.h>
#include <string.h>

#include "ctl.h"

void
SlPrint_JsonString(FILE *out, const char *text)
{
    fputc('"', out);
    for (const char *next = text; *next != '\0'; next++) {
        unsigned char byte = (unsigned char)*next;

        if (byte == '"' || byte == '\\') {
            fprintf(out, "\\%c", byte);
        }
        else if (byte < 0x20) {
            fprintf(out, "\\u%04x", byte);
        }
        else {
            fputc(byte, out);
        }
    }
    fputc('"', out);
}

static void
print_json_string_field(FILE *out, const char *name, const char *text)
{
    fprintf(out, ",\"%s\":", name);
    SlPrint_JsonString(out, text);
}

static void
print_json_number(FILE *out, const char *name, uint64_t number)
{
    fprintf(out, ",\"%s\":%" PRIu64, name, number);
}

static void
print_json_version(FILE *out, const char *name, struct SlVersion version)
{
    fprintf(out, ",\"%s\":\"%" PRIu64 ".%" PRIu64 "\"", name, version.term,
            version.index);
}

static void
print_json_labels(FILE *out, const char *name, const struct SlLabels *labels)
{
    fprintf(out, ",\"%s\":{", name);
    for (uint32_t i = 0; i < labels->count; i++) {
        fputs(i ? "," : "", out);
        SlPrint_JsonString(out, labels->items[i].key);
        fputc(':', out);
        SlPrint_JsonString(out, labels->items[i].value);
    }
    fputc('}', out);
}

static void
print_json_holds(FILE *out, const struct SlHolds *holds)
{
    fputs(",\"holds\":[", out);
    for (uint32_t i = 0; i < holds->count; i++) {
        const struct SlHold *hold = &holds->items[i];

        fputs(i ? ",{\"key\":" : "{\"key\":", out);
        SlPrint_JsonString(out, hold->key);
        print_json_string_field(out, "reason", hold->reason);
        print_json_number(out, "since_us", hold->since_us);
        fputc('}', out);
    }
    fputc(']', out);
}

static const char *
protocol_name(uint8_t protocol)
{
    return protocol == IPPROTO_TCP ? "tcp" : "udp";
}

static const char *
format_roles(uint32_t roles, char text[32])
{
    snprintf(text, 32, "%s%s%s", roles & SL_ROLE_ENTRY ? "entry," : "",
             roles & SL_ROLE_AGENT ? "agent," : "",
             roles & SL_ROLE_CONTROL ? "control," : "");
    if (text[0] != '\0') {
        text[strlen(text) - 1] = '\0';
    }
    return text;
}

static void
print_json_node(FILE *out, const struct SlNodeSpec *node)
{
    char text[SL_ADDRESS_TEXT_BYTES];
    char roles[32];

    print_json_string_field(out, "zone", node->zone);
    print_json_string_field(out, "roles", format_roles(node->roles, roles));
    print_json_labels(out, "announced", &node->announced);
    print_json_string_field(out, "tunnel",
                            SlAddress_Format(&node->tunnel, text));
    print_json_string_field(out, "link", SlAddress_Format(&node->link, text));
    print_json_number(out, "boot", node->boot);
    print_json_number(out, "slots", node->slots);
    print_json_number(out, "capacity_flows", node->capacity_flows);
    fprintf(out, ",\"leaving\":%s,\"unreachable\":%s",
            node->leaving ? "true" : "false",
            node->unreachable ? "true" : "false");
}

static void
print_json_service(FILE *out, const struct SlServiceSpec *service)
{
    char text[SL_ADDRESS_TEXT_BYTES];

    print_json_string_field(out, "address",
                            SlAddress_Format(&service->address, text));
    print_json_string_field(out, "protocol", protocol_name(service->protocol));
    print_json_number(out, "silence_ms", service->silence_ms);
    print_json_number(out, "idle_ms", service->idle_ms);
}

static void
print_json_object(FILE *out, const struct SlObject *object)
{
    fputs("{\"kind\":", out);
    SlPrint_JsonString(out, SlKind_Name(object->kind));
    print_json_string_field(out, "name", object->name);
    print_json_version(out, "version", object->modified);
    print_json_labels(out, "labels", &object->labels);
    if (object->kind == SL_KIND_SERVICE || object->kind == SL_KIND_GROUP) {
        print_json_string_field(out, "selector", object->selector);
    }
    if (object->kind == SL_KIND_SERVICE) {
        print_json_service(out, &object->service);
    }
    if (object->kind == SL_KIND_ZONE || object->kind == SL_KIND_NODE) {
        print_json_holds(out, &object->holds);
    }
    if (object->kind == SL_KIND_NODE) {
        print_json_node(out, &object->node);
    }
    fputc('}', out);
}

static void
print_text_labels(FILE *out, const char *title, const struct SlLabels *labels)
{
    for (uint32_t i = 0; i < labels->count; i++) {
        fprintf(out, "%s%s=%s", i ? "," : title, labels->items[i].key,
                labels->items[i].value);
    }
}

static void
print_text_node(FILE *out, const struct SlNodeSpec *node)
{
    char text[SL_ADDRESS_TEXT_BYTES];
    char roles[32];

    fprintf(out, " zone=%s roles=%s", node->zone,
            format_roles(node->roles, roles));
    print_text_labels(out, " announced=", &node->announced);
    fprintf(out, " tunnel=%s", SlAddress_Format(&node->tunnel, text));
    fprintf(out, " link=%s", SlAddress_Format(&node->link, text));
    if (node->roles & SL_ROLE_AGENT) {
        fprintf(out, " slots=%u capacity_flows=%u", node->slots,
                node->capacity_flows);
    }
    fprintf(out, "%s%s", node->leaving ? " leaving" : "",
            node->unreachable ? " unreachable" : "");
}

static void
print_text_service(FILE *out, const struct SlServiceSpec *service)
{
    char text[SL_ADDRESS_TEXT_BYTES];

    fprintf(out, " address=%s/%s", SlAddress_Format(&service->address, text),
            protocol_name(service->protocol));
    if (service->silence_ms != 0) {
        fprintf(out, " silence_ms=%u", service->silence_ms);
    }
    if (service->idle_ms != 0) {
        fprintf(out, " idle_ms=%u", service->idle_ms);
    }
}

static void
print_text_object(FILE *out, const struct SlObject *object)
{
    fprintf(out, "%s %s", SlKind_Name(object->kind), object->name);
    if (object->kind == SL_KIND_SERVICE) {
        print_text_service(out, &object->service);
    }
    if (object->selector[0] != '\0') {
        fprintf(out, " selector=\"%s\"", object->selector);
    }
    print_text_labels(out, " labels=", &object->labels);
    if (object->kind == SL_KIND_NODE) {
        print_text_node(out, &object->node);
    }
    for (uint32_t i = 0; i < object->holds.count; i++) {
        const struct SlHold *hold = &object->holds.items[i];

        fprintf(out, " hold=%s(%s)", hold->key, hold->reason);
    }
    fprintf(out, " version=%" PRIu64 ".%" PRIu64 "\n", object->modified.term,
            object->modified.index);
}

void
SlPrint_Object(FILE *out, bool json, const struct SlObject *object)
{
    if (json) {
        print_json_object(out, object);
    }
    else {
        print_text_object(out, object);
    }
}

static void
print_json_result(const struct SlResult *result)
{
    fputs("{\"status\":", stdout);
    SlPrint_JsonString(stdout, SlStatus_Name(result->status));
    print_json_version(stdout, "version", result->version);
    print_json_string_field(stdout, "message", result->message);
    if (result->has_object) {
        fputs(",\"object\":", stdout);
        print_json_object(stdout, &result->object);
    }
    puts("}");
}

void
SlPrint_Result(bool json, const struct SlResult *result)
{
    FILE *out = result->status == SL_OK ? stdout : stderr;

    if (json) {
        print_json_result(result);
        return;
    }
    fprintf(out, "%s version=%" PRIu64 ".%" PRIu64 "%s%s\n",
            SlStatus_Name(result->status), result->version.term,
            result->version.index, result->message[0] ? ": " : "",
            result->message);
    if (result->has_object) {
        if (result->status == SL_CONFLICT) {
            fputs("present: ", out);
        }
        print_text_object(out, &result->object);
    }
}

/// One line "key=value" of a text; a line without "=" has an empty value.
struct line {
    const char *key;
    size_t key_bytes;
    const char *value;
    size_t value_bytes;
};

/// Reads the line at start. Returns the start of the next line, or end.
static const char *
read_line(const char *start, const char *end, struct line *line)
{
    const char *line_end = memchr(start, '\n', (size_t)(end - start));
    const char *equals;

    if (line_end == NULL) {
        line_end = end;
    }
    equals = memchr(start, '=', (size_t)(line_end - start));
    line->key = start;
    line->key_bytes = (size_t)((equals ? equals : line_end) - start);
    line->value = equals ? equals + 1 : line_end;
    line->value_bytes = (size_t)(line_end - line->value);
    return line_end < end ? line_end + 1 : end;
}

static bool
has_same_key(const struct line *a, const struct line *b)
{
    return a->key_bytes == b->key_bytes &&
           memcmp(a->key, b->key, a->key_bytes) == 0;
}

/// Prints a whole number without leading zeros as a JSON number, any other
/// value as a JSON string.
static void
print_value(const struct line *line)
{
    size_t digits = 0;

    while (digits < line->value_bytes && line->value[digits] >= '0' &&
           line->value[digits] <= '9') {
        digits++;
    }
    if (digits == line->value_bytes && digits > 0 &&
        (digits == 1 || line->value[0] != '0')) {
        printf("%.*s", (int)line->value_bytes, line->value);
        return;
    }
    char copy[1024];

    snprintf(copy, sizeof(copy), "%.*s", (int)line->value_bytes, line->value);
    SlPrint_JsonString(stdout, copy);
}

/// Returns true if an earlier line of the text has the same key.
static bool
occurs_before(const char *text, const struct line *line)
{
    struct line other;

    for (const char *start = text; start < line->key;) {
        const char *next = read_line(start, line->key, &other);

        if (has_same_key(&other, line)) {
            return true;
        }
        start = next;
    }
    return false;
}

/// Prints the value of a key, given its first line, or an array of all its
/// values when later lines have the same key.
static void
print_values(const char *next, const char *end, const struct line *line)
{
    struct line other;
    bool is_array = false;

    for (const char *start = next; start < end;) {
        start = read_line(start, end, &other);
        if (!has_same_key(&other, line)) {
            continue;
        }
        if (!is_array) {
            putchar('[');
            print_value(line);
        }
        is_array = true;
        putchar(',');
        print_value(&other);
    }
    if (is_array) {
        putchar(']');
    }
    else {
        print_value(line);
    }
}

static void
print_json_lines(const char *text, size_t length_bytes)
{
    const char *end = text + length_bytes;
    struct line line;
    bool first = true;

    putchar('{');
    for (const char *next = text; next < end;) {
        char key[256];

        next = read_line(next, end, &line);
        if (occurs_before(text, &line)) {
            continue;
        }
        snprintf(key, sizeof(key), "%.*s", (int)line.key_bytes, line.key);
        fputs(first ? "" : ",", stdout);
        SlPrint_JsonString(stdout, key);
        putchar(':');
        print_values(next, end, &line);
        first = false;
    }
    puts("}");
}

void
SlPrint_Lines(bool json, const char *text, size_t length_bytes)
{
    if (json) {
        print_json_lines(text, length_bytes);
    }
    else {
        fwrite(text, 1, length_bytes, stdout);
    }
}
