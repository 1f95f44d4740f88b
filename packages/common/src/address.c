#include "savoryledge/common/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static const uint8_t IPV4_PREFIX[12] = {0, 0, 0, 0, 0,   0,
                                        0, 0, 0, 0, 255, 255};

enum {
    FLOW_KEY_BYTES = 37,
};

bool
SlAddress_IsIpv4(const struct SlAddress *address)
{
    return memcmp(address->ip, IPV4_PREFIX, sizeof(IPV4_PREFIX)) == 0;
}

bool
SlAddress_Equal(const struct SlAddress *a, const struct SlAddress *b)
{
    return a->port == b->port && memcmp(a->ip, b->ip, sizeof(a->ip)) == 0;
}

static enum SlStatus
parse_port(const char *text, uint16_t *port)
{
    char *end;
    unsigned long value;

    if (*text < '0' || *text > '9') {
        return SL_MALFORMED;
    }
    value = strtoul(text, &end, 10);
    if (*end != '\0' || value > UINT16_MAX) {
        return SL_MALFORMED;
    }
    *port = (uint16_t)value;
    return SL_OK;
}

/// Copies the IP part of text to ip and returns the rest, ":port" or ""; NULL
/// when text has no closing bracket or its IP part is too long.
static const char *
split_port(const char *text, char *ip, size_t ip_bytes)
{
    const char *end;
    const char *start = text;

    if (*text == '[') {
        start = text + 1;
        end = strchr(start, ']');
    }
    else {
        end = strrchr(text, ':');
        if (end != NULL && strchr(text, ':') != end) {
            end = NULL;
        }
        end = end ? end : text + strlen(text);
    }
    if (end == NULL || (size_t)(end - start) >= ip_bytes) {
        return NULL;
    }
    memcpy(ip, start, (size_t)(end - start));
    ip[end - start] = '\0';
    return *text == '[' ? end + 1 : end;
}

enum SlStatus
SlAddress_Parse(const char *text, struct SlAddress *address)
{
    char ip[INET6_ADDRSTRLEN];
    const char *rest;

    *address = (struct SlAddress){.port = 0};
    rest = split_port(text, ip, sizeof(ip));
    if (rest == NULL || (*rest != '\0' && *rest != ':')) {
        return SL_MALFORMED;
    }
    if (inet_pton(AF_INET, ip, address->ip + 12) == 1) {
        memcpy(address->ip, IPV4_PREFIX, sizeof(IPV4_PREFIX));
    }
    else if (inet_pton(AF_INET6, ip, address->ip) != 1) {
        return SL_MALFORMED;
    }
    return *rest == ':' ? parse_port(rest + 1, &address->port) : SL_OK;
}

const char *
SlAddress_Format(const struct SlAddress *address,
                 char text[SL_ADDRESS_TEXT_BYTES])
{
    char ip[INET6_ADDRSTRLEN];

    if (SlAddress_IsIpv4(address)) {
        inet_ntop(AF_INET, address->ip + 12, ip, sizeof(ip));
        snprintf(text, SL_ADDRESS_TEXT_BYTES, "%s:%u", ip, address->port);
    }
    else {
        inet_ntop(AF_INET6, address->ip, ip, sizeof(ip));
        snprintf(text, SL_ADDRESS_TEXT_BYTES, "[%s]:%u", ip, address->port);
    }
    return text;
}

socklen_t
SlAddress_ToSockaddr(const struct SlAddress *address,
                     struct sockaddr_storage *out)
{
    memset(out, 0, sizeof(*out));
    if (SlAddress_IsIpv4(address)) {
        struct sockaddr_in *in = (struct sockaddr_in *)out;

        in->sin_family = AF_INET;
        in->sin_port = htons(address->port);
        memcpy(&in->sin_addr, address->ip + 12, 4);
        return sizeof(*in);
    }
    struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)out;

    in6->sin6_family = AF_INET6;
    in6->sin6_port = htons(address->port);
    memcpy(&in6->sin6_addr, address->ip, 16);
    return sizeof(*in6);
}

enum SlStatus
SlAddress_FromSockaddr(const struct sockaddr *in, struct SlAddress *address)
{
    if (in->sa_family == AF_INET) {
        const struct sockaddr_in *in4 = (const struct sockaddr_in *)in;

        memcpy(address->ip, IPV4_PREFIX, sizeof(IPV4_PREFIX));
        memcpy(address->ip + 12, &in4->sin_addr, 4);
        address->port = ntohs(in4->sin_port);
        return SL_OK;
    }
    if (in->sa_family == AF_INET6) {
        const struct sockaddr_in6 *in6 = (const struct sockaddr_in6 *)in;

        memcpy(address->ip, &in6->sin6_addr, 16);
        address->port = ntohs(in6->sin6_port);
        return SL_OK;
    }
    return SL_INVALID;
}

bool
SlFlowKey_Equal(const struct SlFlowKey *a, const struct SlFlowKey *b)
{
    return a->protocol == b->protocol &&
           SlAddress_Equal(&a->caller, &b->caller) &&
           SlAddress_Equal(&a->service, &b->service);
}

uint64_t
SlFlowKey_Hash(const struct SlFlowKey *key, uint64_t seed)
{
    uint8_t bytes[FLOW_KEY_BYTES];

    memcpy(bytes, key->caller.ip, 16);
    memcpy(bytes + 16, key->service.ip, 16);
    memcpy(bytes + 32, &key->caller.port, 2);
    memcpy(bytes + 34, &key->service.port, 2);
    bytes[36] = key->protocol;
    return XXH3_64bits_withSeed(bytes, sizeof(bytes), seed);
}

const char *
SlFlowKey_Format(const struct SlFlowKey *key, char text[SL_FLOW_TEXT_BYTES])
{
    char caller[SL_ADDRESS_TEXT_BYTES];
    char service[SL_ADDRESS_TEXT_BYTES];

    snprintf(text, SL_FLOW_TEXT_BYTES, "%s:%s>%s",
             key->protocol == IPPROTO_TCP ? "tcp" : "udp",
             SlAddress_Format(&key->caller, caller),
             SlAddress_Format(&key->service, service));
    return text;
}

enum SlStatus
SlFlowKey_Parse(const char *text, struct SlFlowKey *key)
{
    char caller[SL_ADDRESS_TEXT_BYTES];
    const char *arrow = strchr(text, '>');

    if (arrow == NULL || strlen(text) < 5 ||
        (size_t)(arrow - text - 4) >= sizeof(caller)) {
        return SL_MALFORMED;
    }
    if (strncmp(text, "tcp:", 4) == 0) {
        key->protocol = IPPROTO_TCP;
    }
    else if (strncmp(text, "udp:", 4) == 0) {
        key->protocol = IPPROTO_UDP;
    }
    else {
        return SL_MALFORMED;
    }
    memcpy(caller, text + 4, (size_t)(arrow - text - 4));
    caller[arrow - text - 4] = '\0';
    if (SlAddress_Parse(caller, &key->caller) != SL_OK) {
        return SL_MALFORMED;
    }
    return SlAddress_Parse(arrow + 1, &key->service);
}

static uint64_t
hash_name(const char *name)
{
    uint64_t id = XXH3_64bits(name, strlen(name));

    return id ? id : 1;
}

uint64_t
SlNode_Id(const char *name)
{
    return hash_name(name);
}

uint64_t
SlService_Id(const char *name)
{
    return hash_name(name);
}
