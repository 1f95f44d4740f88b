#ifndef SAVORYLEDGE_CTL_CLIENT_H
#define SAVORYLEDGE_CTL_CLIENT_H

/// A blocking client with a link to one process at a time: connect, send
/// messages, receive answers.

#include "savoryledge/protocol/message.h"
#include "savoryledge/transport/key.h"

struct SlClient;

/// Returns a client without a link, or NULL without memory.
struct SlClient *
SlClient_Create(const struct SlKeyring *keyring);
/// Closes the link and releases the client. NULL is allowed.
void
SlClient_Destroy(struct SlClient *client);

/// Closes the current link and opens one to another address. deadline_us: on
/// the monotonic clock. Errors: SL_TIMEOUT, SL_CLOSED, SL_FORBIDDEN (the keys
/// differ).
enum SlStatus
SlClient_Connect(struct SlClient *client, const struct SlAddress *address,
                 uint64_t deadline_us);
/// Returns the name of the process that the client last connected to.
const char *
SlClient_PeerName(const struct SlClient *client);

/// Sends a message over the current link.
enum SlStatus
SlClient_Send(struct SlClient *client, const struct SlMessage *message);
/// Waits for the next RESULT, OBJECT or TEXT message; the caller releases it
/// with SlMessage_Release. Errors: SL_TIMEOUT, SL_CLOSED.
enum SlStatus
SlClient_Receive(struct SlClient *client, uint64_t deadline_us,
                 struct SlMessage *message);

#endif
