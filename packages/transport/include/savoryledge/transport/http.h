#ifndef SAVORYLEDGE_TRANSPORT_HTTP_H
#define SAVORYLEDGE_TRANSPORT_HTTP_H

/// A small HTTP/1.1 server on an event loop, for the interfaces that a process
/// offers to operators and to other systems. It expects short requests, to
/// which the handler responds at once or later. Requests are parsed with
/// http-parser. All functions are called in the loop's thread.

#include "savoryledge/common/address.h"
#include "savoryledge/transport/loop.h"

enum {
    /// Longest path, its query and terminating NUL included; longer ones are
    /// answered with status 414.
    SL_HTTP_PATH_BYTES = 256,
    /// Longest Location header that a response may carry.
    SL_HTTP_LOCATION_BYTES = 320,
};

enum SlHttpMethod {
    SL_HTTP_OTHER = 0,
    SL_HTTP_GET,
    SL_HTTP_PUT,
    SL_HTTP_POST,
    SL_HTTP_DELETE,
};

/// A received request; valid during the call of the handler only.
struct SlHttpRequest {
    /// Identifies request and response; never reused.
    uint64_t exchange;
    enum SlHttpMethod method;
    /// NUL-terminated, without query and fragment.
    const char *path;
    const uint8_t *body;
    size_t body_bytes;
};

/// A response; borrowed during SlHttp_Respond.
struct SlHttpResponse {
    /// HTTP status code.
    uint32_t status;
    /// Value of the Content-Type header; NULL for none.
    const char *content_type;
    const uint8_t *body;
    size_t body_bytes;
    /// Value of the Location header of a redirection; NULL for none.
    const char *location;
};

struct SlHttpHandler;

/// Callbacks of the handler of a server's requests.
struct SlHttpHandlerType {
    /// Handles a request. Respond with SlHttp_Respond, in this call or later.
    void (*request)(struct SlHttpHandler *handler,
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
    /// Max length of a request body; longer ones are answered with status 413.
    /// 0 selects 1 MiB.
    size_t max_body_bytes;
    /// Max number of connections; 0 selects 256. At the maximum, a new
    /// connection replaces the one that is idle for longest.
    uint32_t max_connections;
    /// Idle time after which a connection is closed; 0 selects 30 s.
    uint64_t idle_timeout_us;
};

struct SlHttp;

/// Starts to listen for connections. Errors: SL_IO, SL_NO_MEMORY.
enum SlStatus
SlHttp_Open(const struct SlHttpOptions *options, struct SlHttp **http,
            struct SlError *error);
/// Closes the server and its connections, also those that wait for a response.
/// http: may be NULL.
void
SlHttp_Close(struct SlHttp *http);

/// Sends the response of an exchange. No effect when the client has closed the
/// connection.
void
SlHttp_Respond(struct SlHttp *http, uint64_t exchange,
               const struct SlHttpResponse *answer);
/// Closes connections that exceeded the idle timeout. Call it about once per
/// second.
void
SlHttp_CloseIdle(struct SlHttp *http, uint64_t now_us);

struct SlHttpCounters {
    /// Present connections.
    uint64_t connections;
    /// Requests passed to the handler.
    uint64_t requests;
    /// Requests answered with status 400.
    uint64_t malformed;
    /// Requests answered with status 413 or 414.
    uint64_t too_long;
};

void
SlHttp_Counters(const struct SlHttp *http, struct SlHttpCounters *counters);

#endif
