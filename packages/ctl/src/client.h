#ifndef SAVORYLEDGE_CTL_CLIENT_H
#define SAVORYLEDGE_CTL_CLIENT_H

/// A link to one process at a time, used step by step: connect, send,
/// receive.

#include "savoryledge/protocol/message.h"
#include "savoryledge/transport/key.h"

struct SlClient;

/// NULL without memory.
struct SlClient *
SlClient_Create(const struct SlKeyring *keyring);
/// NULL is allowed.
void
SlClient_Destroy(struct SlClient *client);

/// Ends the present link and opens one to another address.
/// Errors: SL_TIMEOUT, SL_CLOSED, SL_FORBIDDEN (the keys differ).
enum SlStatus
SlClient_Connect(struct SlClient *client, const struct SlAddress *address,
                 uint64_t deadline_us);
/// Name of the process at the other end.
const char *
SlClient_Peer(const struct SlClient *client);

enum SlStatus
SlClient_Send(struct SlClient *client, const struct SlMessage *message);
/// The next RESULT, OBJECT or TEXT; release it with SlMessage_Release.
/// Errors: SL_TIMEOUT, SL_CLOSED.
enum SlStatus
SlClient_Receive(struct SlClient *client, uint64_t deadline_us,
                 struct SlMessage *message);

#endif
