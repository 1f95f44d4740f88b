#include <inttypes.h>
#include <netinet/in.h>
#include <string.h>

#include "ctl.h"

void
SlPrint_JsonText(FILE *out, const char *text)
{
    fputc('"', out);
    for (const char *at = text; *at != '\0'; at++) {
        unsigned char byte = (unsigned char)*at;

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
json_field(FILE *out, const char *name, const char *text)
{
    fprintf(out, ",\"%s\":", name);
    SlPrint_JsonText(out, text);
}

static void
json_number(FILE *out, const char *name, uint64_t number)
{
    fprintf(out, ",\"%s\":%" PRIu64, name, number);
}

static void
json_version(FILE *out, const char *name, struct SlVersion version)
{
    fprintf(out, ",\"%s\":\"%" PRIu64 ".%" PRIu64 "\"", name, version.term,
            version.index);
}

static void
json_labels(FILE *out, const char *name, const struct SlLabels *labels)
{
    fprintf(out, ",\"%s\":{", name);
    for (uint32_t i = 0; i < labels->count; i++) {
        fputs(i ? "," : "", out);
        SlPrint_JsonText(out, labels->items[i].key);
        fputc(':', out);
        SlPrint_JsonText(out, labels->items[i].value);
    }
    fputc('}', out);
}

static void
json_holds(FILE *out, const struct SlHolds *holds)
{
    fputs(",\"holds\":[", out);
    for (uint32_t i = 0; i < holds->count; i++) {
        const struct SlHold *hold = &holds->items[i];

        fputs(i ? ",{\"key\":" : "{\"key\":", out);
        SlPrint_JsonText(out, hold->key);
        json_field(out, "reason", hold->reason);
        json_number(out, "since_us", hold->since_us);
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
roles_text(uint32_t roles, char text[32])
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
json_node(FILE *out, const struct SlNodeSpec *node)
{
    char text[SL_ADDRESS_TEXT_BYTES];
    char roles[32];

    json_field(out, "zone", node->zone);
    json_field(out, "roles", roles_text(node->roles, roles));
    json_labels(out, "announced", &node->announced);
    json_field(out, "tunnel", SlAddress_Format(&node->tunnel, text));
    json_field(out, "link", SlAddress_Format(&node->link, text));
    json_number(out, "boot", node->boot);
    json_number(out, "slots", node->slots);
    json_number(out, "capacity_flows", node->capacity_flows);
    fprintf(out, ",\"leaving\":%s,\"unreachable\":%s",
            node->leaving ? "true" : "false",
            node->unreachable ? "true" : "false");
}

static void
json_service(FILE *out, const struct SlServiceSpec *service)
{
    char text[SL_ADDRESS_TEXT_BYTES];

    json_field(out, "address", SlAddress_Format(&service->address, text));
    json_field(out, "protocol", protocol_name(service->protocol));
    json_number(out, "silence_ms", service->silence_ms);
    json_number(out, "idle_ms", service->idle_ms);
}

static void
json_object(FILE *out, const struct SlObject *object)
{
    fputs("{\"kind\":", out);
    SlPrint_JsonText(out, SlKind_Name(object->kind));
    json_field(out, "name", object->name);
    json_version(out, "version", object->modified);
    json_labels(out, "labels", &object->labels);
    if (object->kind == SL_KIND_SERVICE || object->kind == SL_KIND_GROUP) {
        json_field(out, "selector", object->selector);
    }
    if (object->kind == SL_KIND_SERVICE) {
        json_service(out, &object->service);
    }
    if (object->kind == SL_KIND_ZONE || object->kind == SL_KIND_NODE) {
        json_holds(out, &object->holds);
    }
    if (object->kind == SL_KIND_NODE) {
        json_node(out, &object->node);
    }
    fputc('}', out);
}

static void
text_labels(FILE *out, const char *title, const struct SlLabels *labels)
{
    for (uint32_t i = 0; i < labels->count; i++) {
        fprintf(out, "%s%s=%s", i ? "," : title, labels->items[i].key,
                labels->items[i].value);
    }
}

static void
text_node(FILE *out, const struct SlNodeSpec *node)
{
    char text[SL_ADDRESS_TEXT_BYTES];
    char roles[32];

    fprintf(out, " zone=%s roles=%s", node->zone,
            roles_text(node->roles, roles));
    text_labels(out, " announced=", &node->announced);
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
text_service(FILE *out, const struct SlServiceSpec *service)
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
text_object(FILE *out, const struct SlObject *object)
{
    fprintf(out, "%s %s", SlKind_Name(object->kind), object->name);
    if (object->kind == SL_KIND_SERVICE) {
        text_service(out, &object->service);
    }
    if (object->selector[0] != '\0') {
        fprintf(out, " selector=\"%s\"", object->selector);
    }
    text_labels(out, " labels=", &object->labels);
    if (object->kind == SL_KIND_NODE) {
        text_node(out, &object->node);
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
        json_object(out, object);
    }
    else {
        text_object(out, object);
    }
}

static void
json_result(const struct SlResult *result)
{
    fputs("{\"status\":", stdout);
    SlPrint_JsonText(stdout, SlStatus_Name(result->status));
    json_version(stdout, "version", result->version);
    json_field(stdout, "message", result->message);
    if (result->has_object) {
        fputs(",\"object\":", stdout);
        json_object(stdout, &result->object);
    }
    puts("}");
}

void
SlPrint_Result(bool json, const struct SlResult *result)
{
    FILE *out = result->status == SL_OK ? stdout : stderr;

    if (json) {
        json_result(result);
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
        text_object(out, &result->object);
    }
}

/// A line of "key=value"; false at the end of the text.
struct line {
    const char *key;
    size_t key_bytes;
    const char *value;
    size_t value_bytes;
};

static const char *
read_line(const char *at, const char *end, struct line *line)
{
    const char *stop = memchr(at, '\n', (size_t)(end - at));
    const char *equals;

    if (stop == NULL) {
        stop = end;
    }
    equals = memchr(at, '=', (size_t)(stop - at));
    line->key = at;
    line->key_bytes = (size_t)((equals ? equals : stop) - at);
    line->value = equals ? equals + 1 : stop;
    line->value_bytes = (size_t)(stop - line->value);
    return stop < end ? stop + 1 : end;
}

static bool
same_key(const struct line *a, const struct line *b)
{
    return a->key_bytes == b->key_bytes &&
           memcmp(a->key, b->key, a->key_bytes) == 0;
}

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
    SlPrint_JsonText(stdout, copy);
}

static bool
stands_before(const char *text, const struct line *line)
{
    struct line other;

    for (const char *at = text; at < line->key;) {
        const char *next = read_line(at, line->key, &other);

        if (same_key(&other, line)) {
            return true;
        }
        at = next;
    }
    return false;
}

/// All values of a key, from its first line on.
static void
print_values(const char *next, const char *end, const struct line *line)
{
    struct line other;
    bool several = false;

    for (const char *at = next; at < end;) {
        at = read_line(at, end, &other);
        if (!same_key(&other, line)) {
            continue;
        }
        if (!several) {
            putchar('[');
            print_value(line);
        }
        several = true;
        putchar(',');
        print_value(&other);
    }
    if (several) {
        putchar(']');
    }
    else {
        print_value(line);
    }
}

static void
json_lines(const char *text, size_t length_bytes)
{
    const char *end = text + length_bytes;
    struct line line;
    bool first = true;

    putchar('{');
    for (const char *at = text; at < end;) {
        char key[256];

        at = read_line(at, end, &line);
        if (stands_before(text, &line)) {
            continue;
        }
        snprintf(key, sizeof(key), "%.*s", (int)line.key_bytes, line.key);
        fputs(first ? "" : ",", stdout);
        SlPrint_JsonText(stdout, key);
        putchar(':');
        print_values(at, end, &line);
        first = false;
    }
    puts("}");
}

void
SlPrint_Lines(bool json, const char *text, size_t length_bytes)
{
    if (json) {
        json_lines(text, length_bytes);
    }
    else {
        fwrite(text, 1, length_bytes, stdout);
    }
}
