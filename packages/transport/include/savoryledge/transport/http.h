#ifndef SAVORYLEDGE_TRANSPORT_HTTP_H
#define SAVORYLEDGE_TRANSPORT_HTTP_H

/// A small HTTP/1.1 server on an event loop, for the interfaces that a process
/// offers to operators and to other systems. It expects short requests, to
/// which the handler responds at once or later. A request and its response are
/// an exchange, which has a number of its own. Requests are parsed with
/// http-parser. All functions are called in the loop's thread.

#include "savoryledge/common/address.h"
#include "savoryledge/transport/loop.h"

enum {
    /// Max length of a request's path, its query and terminating NUL included;
    /// requests with a longer path are answered with status 414.
    SL_HTTP_PATH_BYTES = 256,
    /// Max length of the Location header of a response.
    SL_HTTP_LOCATION_BYTES = 320,
};

enum SlHttpMethod {
    SL_HTTP_OTHER = 0,
    SL_HTTP_GET,
    SL_HTTP_PUT,
    SL_HTTP_POST,
    SL_HTTP_DELETE,
};

/// A received request, valid only during the call of the handler.
struct SlHttpRequest {
    /// Number of the exchange, which identifies the request and its response;
    /// never reused.
    uint64_t exchange;
    enum SlHttpMethod method;
    /// Path of the request, NUL-terminated, without query and fragment.
    const char *path;
    const uint8_t *body;
    size_t body_bytes;
};

/// A response to a request. SlHttp_Respond copies what it needs of it.
struct SlHttpResponse {
    /// HTTP status code of the response.
    uint32_t status;
    /// Value of the Content-Type header; NULL for a response without it.
    const char *content_type;
    const uint8_t *body;
    size_t body_bytes;
    /// Value of the Location header of a redirection; NULL for a response
    /// without it.
    const char *location;
};

struct SlHttpHandler;

/// Function table of a request handler: the callbacks of the server.
struct SlHttpHandlerType {
    /// Handles a request, which must be answered with SlHttp_Respond, in this
    /// call or later.
    void (*request)(struct SlHttpHandler *handler,
                    const struct SlHttpRequest *request);
};

/// A request handler. Embed it as the first member of a struct.
struct SlHttpHandler {
    /// The handler's function table.
    const struct SlHttpHandlerType *type;
};

struct SlHttpOptions {
    /// Event loop that runs the server, and handler of the requests. Both are
    /// borrowed and must outlive the server.
    struct SlLoop *loop;
    struct SlHttpHandler *handler;
    /// Address at which the server accepts connections.
    struct SlAddress listen;
    /// Max length of a request body; requests with a longer body are answered
    /// with status 413. 0 selects 1 MiB.
    size_t max_body_bytes;
    /// Max number of connections; 0 selects 256. At the maximum, a new
    /// connection replaces the one that is idle for longest.
    uint32_t max_connections;
    /// Max total size of the buffers for long bodies and responses; 0 selects
    /// 8 MiB. At the maximum, the connection with such a buffer that is idle
    /// for longest is closed.
    size_t max_buffer_bytes;
    /// Idle time after which a connection is closed; 0 selects 30 s.
    uint64_t idle_timeout_us;
};

struct SlHttp;

/// Creates a server and starts to listen for connections. Errors: SL_IO,
/// SL_NO_MEMORY.
enum SlStatus
SlHttp_Open(const struct SlHttpOptions *options, struct SlHttp **http,
            struct SlError *error);
/// Closes the server and its connections, also those that wait for a response.
/// http may be NULL.
void
SlHttp_Close(struct SlHttp *http);

/// Sends the response to a request. The call has no effect when the client has
/// closed the connection.
void
SlHttp_Respond(struct SlHttp *http, uint64_t exchange,
               const struct SlHttpResponse *response);
/// Closes connections that exceeded the idle timeout. Call it about once per
/// second.
void
SlHttp_CloseIdle(struct SlHttp *http, uint64_t now_us);

/// Counters of a server; requests are counted since the server was opened.
struct SlHttpCounters {
    /// Number of connections that are open at present.
    uint64_t connections;
    /// Number of requests passed to the handler.
    uint64_t requests;
    /// Number of requests answered with status 400.
    uint64_t malformed;
    /// Number of requests answered with status 413 or 414.
    uint64_t too_long;
    /// Number of connections closed because of max_buffer_bytes.
    uint64_t closed_for_buffers;
};

void
SlHttp_Counters(const struct SlHttp *http, struct SlHttpCounters *counters);

#endif
