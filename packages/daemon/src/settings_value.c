#include <ctype.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "settings_value.h"

enum {
    /// Maximum length of a list in a setting, including the final NUL.
    LIST_BYTES = 1024,
    RATE_DECIMALS = 3,
};

static bool
is_valid_name(const char *text)
{
    size_t length = strlen(text);

    for (size_t i = 0; i < length; i++) {
        if (!isalnum((unsigned char)text[i]) &&
            strchr("-_.", text[i]) == NULL) {
            return false;
        }
    }
    return length > 0 && length < SL_NAME_BYTES;
}

static bool
copy_text(const char *text, size_t size_bytes, char *target)
{
    size_t length = strlen(text);

    if (length == 0 || length >= size_bytes) {
        return false;
    }
    memcpy(target, text, length + 1);
    return true;
}

static bool
parse_address(const char *text, bool requires_port, struct SlAddress *target)
{
    return SlAddress_Parse(text, target) == SL_OK &&
           (!requires_port || target->port != 0);
}

static bool
parse_number(const char *text, uint32_t min, uint32_t max, uint32_t *target)
{
    unsigned long long number;
    char *end;

    if (!isdigit((unsigned char)text[0])) {
        return false;
    }
    errno = 0;
    number = strtoull(text, &end, 10);
    if (errno != 0 || *end != '\0' || number < min || number > max) {
        return false;
    }
    *target = (uint32_t)number;
    return true;
}

/// Parses a decimal number with up to three decimals and stores it times 1000.
static bool
parse_rate(const char *text, uint32_t min, uint32_t max, uint32_t *target)
{
    uint64_t value = 0;
    uint32_t decimals = 0;
    bool has_point = false;

    if (!isdigit((unsigned char)text[0])) {
        return false;
    }
    for (; *text != '\0'; text++) {
        if (*text == '.' && !has_point) {
            has_point = true;
            continue;
        }
        if (!isdigit((unsigned char)*text) || value > UINT32_MAX ||
            decimals == RATE_DECIMALS) {
            return false;
        }
        value = value * 10 + (uint64_t)(*text - '0');
        decimals += has_point;
    }
    for (; decimals < RATE_DECIMALS; decimals++) {
        value *= 10;
    }
    if (value < min || value > max) {
        return false;
    }
    *target = (uint32_t)value;
    return true;
}

static bool
parse_bool(const char *text, bool *target)
{
    *target = strcmp(text, "yes") == 0;
    return *target || strcmp(text, "no") == 0;
}

/// A word that a setting accepts, and the number that stands for the word.
struct choice {
    const char *text;
    uint32_t value;
};

static const struct choice LEVELS[] = {
    {"error", SL_LEVEL_ERROR},   {"warning", SL_LEVEL_WARNING},
    {"notice", SL_LEVEL_NOTICE}, {"info", SL_LEVEL_INFO},
    {"debug", SL_LEVEL_DEBUG},   {NULL, 0},
};

static const struct choice ROLES[] = {
    {"entry", SL_ROLE_ENTRY},
    {"agent", SL_ROLE_AGENT},
    {"control", SL_ROLE_CONTROL},
    {NULL, 0},
};

static const struct choice PORT_KINDS[] = {
    {"encap", SL_PORT_ENCAP},
    {"udp", SL_PORT_UDP},
    {"tun", SL_PORT_TUN},
    {NULL, 0},
};

static const struct choice *
find_choice(const struct choice *choices, const char *text)
{
    for (const struct choice *choice = choices; choice->text != NULL;
         choice++) {
        if (strcmp(choice->text, text) == 0) {
            return choice;
        }
    }
    return NULL;
}

static char *
trim_spaces(char *text)
{
    char *end = text + strlen(text);

    while (end > text && isspace((unsigned char)end[-1])) {
        *--end = '\0';
    }
    while (isspace((unsigned char)*text)) {
        text++;
    }
    return text;
}

/// Calls add_item for each item of a list separated by commas. Returns false
/// if the list is too long or add_item rejects an item.
static bool
parse_list(const char *text, bool (*add_item)(char *item, void *target),
           void *target)
{
    char copy[LIST_BYTES];
    char *rest = copy;
    char *item;

    if (strlen(text) >= sizeof(copy)) {
        return false;
    }
    snprintf(copy, sizeof(copy), "%s", text);
    while ((item = strsep(&rest, ",")) != NULL) {
        item = trim_spaces(item);
        if (*item != '\0' && !add_item(item, target)) {
            return false;
        }
    }
    return true;
}

static bool
add_role(char *item, void *target)
{
    const struct choice *choice = find_choice(ROLES, item);

    if (choice == NULL) {
        return false;
    }
    *(uint32_t *)target |= choice->value;
    return true;
}

static bool
add_label(char *item, void *target)
{
    char *value = strchr(item, '=');

    if (value == NULL) {
        return false;
    }
    *value++ = '\0';
    return SlLabels_Set(target, trim_spaces(item), trim_spaces(value)) ==
           SL_OK;
}

static bool
add_member(char *item, void *target)
{
    struct SlMembers *members = target;
    struct SlMember *member = &members->items[members->count];
    char *address = strchr(item, '@');

    if (address == NULL || members->count == SETTINGS_MEMBERS_MAX) {
        return false;
    }
    *address++ = '\0';
    if (!is_valid_name(item) || !parse_address(address, true, &member->link)) {
        return false;
    }
    for (uint32_t i = 0; i < members->count; i++) {
        if (strcmp(members->items[i].name, item) == 0) {
            return false;
        }
    }
    snprintf(member->name, sizeof(member->name), "%s", item);
    members->count++;
    return true;
}

static bool
add_seed(char *item, void *target)
{
    struct SlSeeds *seeds = target;

    if (seeds->count == SETTINGS_MEMBERS_MAX ||
        !parse_address(item, false, &seeds->items[seeds->count]) ||
        !SlAddress_IsIpv4(&seeds->items[seeds->count])) {
        return false;
    }
    seeds->count++;
    return true;
}

static bool
parse_choice(const struct choice *choices, const char *text, uint32_t *value)
{
    const struct choice *choice = find_choice(choices, text);

    if (choice != NULL) {
        *value = choice->value;
    }
    return choice != NULL;
}

bool
SlValue_Parse(enum SlValueType type, uint32_t min, uint32_t max,
              const char *text, void *target)
{
    switch (type) {
    case SL_VALUE_NAME:
        return is_valid_name(text) && copy_text(text, SL_NAME_BYTES, target);
    case SL_VALUE_PATH:
        return copy_text(text, SETTINGS_PATH_BYTES, target);
    case SL_VALUE_DEVICE:
        return is_valid_name(text) &&
               copy_text(text, SL_PORT_DEVICE_BYTES, target);
    case SL_VALUE_ADDRESS:
        return parse_address(text, true, target);
    case SL_VALUE_HOST:
        return parse_address(text, false, target);
    case SL_VALUE_NUMBER:
        return parse_number(text, min, max, target);
    case SL_VALUE_RATE:
        return parse_rate(text, min, max, target);
    case SL_VALUE_BOOL:
        return parse_bool(text, target);
    case SL_VALUE_LEVEL:
        return parse_choice(LEVELS, text, target);
    case SL_VALUE_PORT_KIND:
        return parse_choice(PORT_KINDS, text, target);
    case SL_VALUE_ROLES:
        return parse_list(text, add_role, target) && *(uint32_t *)target;
    case SL_VALUE_LABELS:
        return parse_list(text, add_label, target);
    case SL_VALUE_MEMBERS:
        return parse_list(text, add_member, target);
    case SL_VALUE_SEEDS:
        return parse_list(text, add_seed, target);
    }
    return false;
}

static const char *
describe_allowed(enum SlValueType type)
{
    switch (type) {
    case SL_VALUE_NAME:
        return "1 to 47 letters, digits, \"-\", \"_\" or \".\"";
    case SL_VALUE_PATH:
        return "a path of at most 191 bytes";
    case SL_VALUE_DEVICE:
        return "a device name of at most 15 characters";
    case SL_VALUE_ADDRESS:
        return "IPV4:PORT or [IPV6]:PORT";
    case SL_VALUE_HOST:
        return "IPV4 or [IPV6], with or without :PORT";
    case SL_VALUE_BOOL:
        return "yes or no";
    case SL_VALUE_LEVEL:
        return "error, warning, notice, info or debug";
    case SL_VALUE_ROLES:
        return "a list of entry, agent and control";
    case SL_VALUE_PORT_KIND:
        return "encap, udp or tun";
    case SL_VALUE_LABELS:
        return "at most 8 labels KEY=VALUE, separated by commas";
    case SL_VALUE_MEMBERS:
        return "at most 9 members NAME@ADDRESS:PORT with different names, "
               "separated by commas";
    case SL_VALUE_SEEDS:
        return "at most 9 IPv4 addresses, separated by commas";
    case SL_VALUE_NUMBER:
    case SL_VALUE_RATE:
        break;
    }
    return "";
}

const char *
SlValue_FormatAllowed(enum SlValueType type, uint32_t min, uint32_t max,
                      char *text, size_t size_bytes)
{
    if (type == SL_VALUE_NUMBER) {
        snprintf(text, size_bytes, "a number from %u to %u", min, max);
    }
    else if (type == SL_VALUE_RATE) {
        snprintf(text, size_bytes,
                 "a number of Mbit/s from %g to %g, with at most 3 decimals",
                 min / 1000.0, max / 1000.0);
    }
    else {
        snprintf(text, size_bytes, "%s", describe_allowed(type));
    }
    return text;
}

bool
SlValue_IsList(enum SlValueType type)
{
    return type == SL_VALUE_LABELS || type == SL_VALUE_MEMBERS ||
           type == SL_VALUE_SEEDS;
}
