#ifndef SAVORYLEDGE_TRANSPORT_HTTP_H
#define SAVORYLEDGE_TRANSPORT_HTTP_H

/// A small HTTP/1.1 server on an event loop, for the interfaces that a
/// process offers to operators and neighbours: short requests, answered at
/// once or later. Parsing is http-parser's. One thread.

#include "savoryledge/common/address.h"
#include "savoryledge/transport/loop.h"

enum {
    SL_HTTP_PATH_BYTES = 256,
    SL_HTTP_LOCATION_BYTES = 320,
};

enum SlHttpMethod {
    SL_HTTP_OTHER = 0,
    SL_HTTP_GET,
    SL_HTTP_PUT,
    SL_HTTP_POST,
    SL_HTTP_DELETE,
};

/// Borrowed for the length of the call.
struct SlHttpRequest {
    /// Names the exchange until it is answered; never reused.
    uint64_t exchange;
    enum SlHttpMethod method;
    /// NUL-terminated, without a query.
    const char *path;
    const uint8_t *body;
    size_t body_bytes;
};

struct SlHttpResponse {
    uint32_t status;
    /// NULL without a body.
    const char *content_type;
    const uint8_t *body;
    size_t body_bytes;
    /// For redirections; NULL for none.
    const char *location;
};

struct SlHttpHandler;

struct SlHttpHandlerType {
    /// Answer it with SlHttp_Respond, in the call or later.
    void (*request)(struct SlHttpHandler *owner,
                    const struct SlHttpRequest *request);
};

struct SlHttpHandler {
    const struct SlHttpHandlerType *type;
};

struct SlHttpOptions {
    /// Borrowed; must outlive the server.
    struct SlLoop *loop;
    struct SlHttpHandler *handler;
    struct SlAddress listen;
    /// Longest body; longer ones are answered 413. 0 takes 1 MiB.
    size_t body_bytes;
    /// Connections at most; 0 takes 256. The longest idle is closed for a
    /// new one.
    uint32_t max_connections;
    /// Silence after which a connection is closed; 0 takes 30 s.
    uint64_t idle_us;
};

struct SlHttp;

/// Errors: SL_IO, SL_NO_MEMORY.
enum SlStatus
SlHttp_Open(const struct SlHttpOptions *options, struct SlHttp **http,
            struct SlError *error);
/// NULL is allowed. Exchanges that are open end without an answer.
void
SlHttp_Close(struct SlHttp *http);

/// Answers an exchange; one whose caller is gone is ignored.
void
SlHttp_Respond(struct SlHttp *http, uint64_t exchange,
               const struct SlHttpResponse *answer);
/// Closes connections that are idle for too long. Call it about each second.
void
SlHttp_CloseIdle(struct SlHttp *http, uint64_t now_us);

struct SlHttpCounters {
    uint64_t connections;
    uint64_t requests;
    uint64_t malformed;
    uint64_t too_long;
};

void
SlHttp_Counters(const struct SlHttp *http, struct SlHttpCounters *counters);

#endif
