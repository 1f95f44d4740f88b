#include <netinet/in.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "savoryledge/transport/channel.h"
#include "savoryledge/transport/frame.h"
#include "savoryledge/transport/link.h"
#include "test.h"

/// Two sets of links in one loop, over 127.0.0.1. Time is given to
/// SlLinks_Tick, so deadlines pass without waiting for them.

enum {
    TURN_US = 1000,
    /// More turns than any case needs: a case ends by what happened.
    MAX_TURNS = 20000,
    DIAL = 5,
};

struct end {
    struct SlLinksHandler owner;
    struct SlLinks *links;
    uint64_t link;
    uint32_t ups;
    uint32_t downs;
    uint32_t messages;
    uint32_t refusals;
    enum SlStatus reason;
    uint32_t last_bytes;
    uint8_t last[64];
};

static void
end_up(struct SlLinksHandler *owner, uint64_t link, uint64_t dialled,
       const struct SlAddress *remote)
{
    struct end *end = (struct end *)owner;

    (void)dialled;
    (void)remote;
    end->ups++;
    end->link = link;
}

static void
end_message(struct SlLinksHandler *owner, uint64_t link, const uint8_t *bytes,
            uint32_t length_bytes)
{
    struct end *end = (struct end *)owner;

    (void)link;
    end->messages++;
    end->last_bytes = length_bytes;
    memcpy(end->last, bytes,
           length_bytes < sizeof(end->last) ? length_bytes
                                            : sizeof(end->last));
}

static void
end_down(struct SlLinksHandler *owner, uint64_t link, enum SlStatus reason)
{
    struct end *end = (struct end *)owner;

    (void)link;
    end->downs++;
    end->reason = reason;
}

static void
end_refused(struct SlLinksHandler *owner, const struct SlAddress *remote,
            enum SlStatus reason)
{
    struct end *end = (struct end *)owner;

    (void)remote;
    end->refusals++;
    end->reason = reason;
}

static const struct SlLinksHandlerType END_TYPE = {.on_up = end_up,
                                                   .on_message = end_message,
                                                   .on_down = end_down,
                                                   .on_refused = end_refused};

struct pair {
    struct SlLoop *loop;
    struct end listener;
    struct end dialler;
    struct SlAddress address;
};

static struct SlKeyring
keyring_of(uint8_t first, uint8_t second)
{
    struct SlKeyring keyring = {.count = second ? 2 : 1};
    uint8_t secret[SL_KEY_BYTES];

    memset(secret, first, sizeof(secret));
    SlKey_FromSecret(secret, &keyring.items[0]);
    memset(secret, second, sizeof(secret));
    SlKey_FromSecret(secret, &keyring.items[1]);
    return keyring;
}

static void
make_end(struct pair *pair, struct end *end, struct SlKeyring keyring)
{
    struct SlLinksOptions options = {.loop = pair->loop,
                                     .handler = &end->owner,
                                     .keyring = keyring,
                                     .max_links = 32,
                                     .queue_bytes = 64 * 1024,
                                     .redial_min_us = 1000,
                                     .redial_max_us = 2000};

    end->owner.type = &END_TYPE;
    end->links = SlLinks_Create(&options);
    CU_ASSERT_PTR_NOT_NULL_FATAL(end->links);
}

static void
open_pair(struct pair *pair, struct SlKeyring listener,
          struct SlKeyring dialler)
{
    *pair = (struct pair){.loop = SlLoop_Create()};
    SlAddress_Parse("127.0.0.1:0", &pair->address);
    make_end(pair, &pair->listener, listener);
    make_end(pair, &pair->dialler, dialler);
    CU_ASSERT_EQUAL_FATAL(SlLinks_Listen(pair->listener.links, &pair->address,
                                         &pair->address, NULL),
                          SL_OK);
}

static void
close_pair(struct pair *pair)
{
    SlLinks_Destroy(pair->dialler.links);
    SlLinks_Destroy(pair->listener.links);
    SlLoop_Destroy(pair->loop);
}

static void
turn(struct pair *pair)
{
    SlLoop_RunOnce(pair->loop, TURN_US);
    SlLinks_Tick(pair->listener.links, SlClock_Monotonic());
    SlLinks_Tick(pair->dialler.links, SlClock_Monotonic());
}

#define TURN_UNTIL(pair, condition)                                           \
    do {                                                                      \
        for (int turns = 0; turns < MAX_TURNS && !(condition); turns++) {     \
            turn(pair);                                                       \
        }                                                                     \
        CU_ASSERT_FATAL(condition);                                           \
    } while (0)

static void
test_messages_pass_both_ways(void)
{
    static uint8_t large[50000];
    struct pair pair;

    open_pair(&pair, keyring_of(1, 0), keyring_of(1, 0));
    SlLinks_Dial(pair.dialler.links, DIAL, &pair.address);
    TURN_UNTIL(&pair, pair.dialler.ups == 1 && pair.listener.ups == 1);
    SlLinks_Send(pair.dialler.links, pair.dialler.link,
                 (const uint8_t *)"hello", 5);
    SlLinks_Send(pair.listener.links, pair.listener.link, large,
                 sizeof(large));
    TURN_UNTIL(&pair,
               pair.dialler.messages == 1 && pair.listener.messages == 1);
    CU_ASSERT_EQUAL(memcmp(pair.listener.last, "hello", 5), 0);
    CU_ASSERT_EQUAL(pair.dialler.last_bytes, sizeof(large));
    close_pair(&pair);
}

static void
test_wrong_key_is_refused_both_ways(void)
{
    struct SlLinksCounters counters;
    struct pair pair;

    open_pair(&pair, keyring_of(1, 0), keyring_of(2, 0));
    SlLinks_Dial(pair.dialler.links, DIAL, &pair.address);
    TURN_UNTIL(&pair, pair.listener.refusals >= 2);
    CU_ASSERT_EQUAL(pair.listener.reason, SL_FORBIDDEN);
    CU_ASSERT_EQUAL(pair.listener.ups + pair.dialler.ups, 0);
    SlLinks_Counters(pair.listener.links, &counters);
    CU_ASSERT_TRUE(counters.refused_forbidden >= 2);
    close_pair(&pair);
}

static void
test_links_of_a_key_that_is_gone_end(void)
{
    struct SlKeyring both = keyring_of(2, 1);
    struct SlKeyring new_only = keyring_of(2, 0);
    struct pair pair;

    open_pair(&pair, both, keyring_of(1, 0));
    SlLinks_Dial(pair.dialler.links, DIAL, &pair.address);
    TURN_UNTIL(&pair, pair.listener.ups == 1 && pair.dialler.ups == 1);
    SlLinks_SetKeyring(pair.listener.links, &new_only);
    TURN_UNTIL(&pair, pair.listener.refusals >= 1);
    CU_ASSERT_EQUAL(pair.listener.downs, 1);
    SlLinks_SetKeyring(pair.dialler.links, &new_only);
    TURN_UNTIL(&pair, pair.listener.ups == 2);
    close_pair(&pair);
}

static void
test_silent_peer_is_dialled_again(void)
{
    struct pair pair;
    uint64_t late_us;

    open_pair(&pair, keyring_of(1, 0), keyring_of(1, 0));
    SlLinks_Dial(pair.dialler.links, DIAL, &pair.address);
    TURN_UNTIL(&pair, pair.dialler.ups == 1 && pair.listener.ups == 1);
    late_us = SlClock_Monotonic() + 60 * 1000 * 1000;
    SlLinks_Tick(pair.dialler.links, late_us);
    CU_ASSERT_EQUAL(pair.dialler.downs, 1);
    CU_ASSERT_EQUAL(pair.dialler.reason, SL_TIMEOUT);
    for (int i = 0; i < 4; i++) {
        SlLinks_Tick(pair.dialler.links, late_us + 10000 * (uint64_t)i);
    }
    TURN_UNTIL(&pair, pair.dialler.ups == 2);
    close_pair(&pair);
}

static void
test_idle_link_stays_up(void)
{
    uint64_t now_us = SlClock_Monotonic();
    struct pair pair;

    open_pair(&pair, keyring_of(1, 0), keyring_of(1, 0));
    SlLinks_Dial(pair.dialler.links, DIAL, &pair.address);
    TURN_UNTIL(&pair, pair.dialler.ups == 1 && pair.listener.ups == 1);
    for (int i = 0; i < 60; i++) {
        now_us += 500 * 1000;
        SlLinks_Tick(pair.dialler.links, now_us);
        SlLinks_Tick(pair.listener.links, now_us);
        for (int turns = 0; turns < 4; turns++) {
            SlLoop_RunOnce(pair.loop, TURN_US);
        }
    }
    CU_ASSERT_EQUAL(pair.dialler.downs + pair.listener.downs, 0);
    CU_ASSERT_EQUAL(pair.dialler.messages + pair.listener.messages, 0);
    close_pair(&pair);
}

static void
test_peer_that_takes_nothing_is_closed_at_the_bound(void)
{
    static uint8_t bytes[16 * 1024];
    enum SlStatus status = SL_OK;
    struct pair pair;

    open_pair(&pair, keyring_of(1, 0), keyring_of(1, 0));
    SlLinks_Dial(pair.dialler.links, DIAL, &pair.address);
    TURN_UNTIL(&pair, pair.dialler.ups == 1 && pair.listener.ups == 1);
    for (int i = 0; i < 100000 && status == SL_OK; i++) {
        status = SlLinks_Send(pair.dialler.links, pair.dialler.link, bytes,
                              sizeof(bytes));
        SlLinks_Flush(pair.dialler.links);
    }
    CU_ASSERT_EQUAL(status, SL_FULL);
    CU_ASSERT_EQUAL(pair.dialler.downs, 1);
    CU_ASSERT_EQUAL(pair.dialler.reason, SL_FULL);
    close_pair(&pair);
}

static int
connect_raw(const struct SlAddress *address)
{
    struct sockaddr_storage name;
    socklen_t length = SlAddress_ToSockaddr(address, &name);
    int descriptor = socket(AF_INET, SOCK_STREAM, 0);

    CU_ASSERT_EQUAL_FATAL(
        connect(descriptor, (struct sockaddr *)&name, length), 0);
    return descriptor;
}

static void
test_bytes_that_are_no_greeting_are_refused(void)
{
    static const uint8_t SEED[randombytes_SEEDBYTES] = {3};
    static const uint8_t HUGE_FRAME[] = {0xff, 0xff, 0xff, 0xff};
    uint8_t bytes[200];
    struct pair pair;
    int descriptor;

    open_pair(&pair, keyring_of(1, 0), keyring_of(1, 0));
    descriptor = connect_raw(&pair.address);
    CU_ASSERT_EQUAL(send(descriptor, HUGE_FRAME, 4, 0), 4);
    TURN_UNTIL(&pair, pair.listener.refusals == 1);
    CU_ASSERT_EQUAL(pair.listener.reason, SL_TOO_LONG);
    close(descriptor);
    for (uint32_t i = 0; i < 64; i++) {
        randombytes_buf_deterministic(bytes, sizeof(bytes), SEED);
        memset(bytes, 0, 3);
        bytes[3] = (uint8_t)(i * 2);
        bytes[4] = (uint8_t)(1 + i % 2);
        descriptor = connect_raw(&pair.address);
        CU_ASSERT_EQUAL(send(descriptor, bytes, sizeof(bytes), 0),
                        (ssize_t)sizeof(bytes));
        TURN_UNTIL(&pair, pair.listener.refusals == 2 + i);
        close(descriptor);
    }
    CU_ASSERT_EQUAL(pair.listener.ups, 0);
    close_pair(&pair);
}

static void
test_half_a_greeting_ends_with_the_handshake_time(void)
{
    struct pair pair;
    int descriptor;

    open_pair(&pair, keyring_of(1, 0), keyring_of(1, 0));
    descriptor = connect_raw(&pair.address);
    CU_ASSERT_EQUAL(send(descriptor, "\0\0\0", 3, 0), 3);
    for (int i = 0; i < 20; i++) {
        turn(&pair);
    }
    SlLinks_Tick(pair.listener.links, SlClock_Monotonic() + 10 * 1000 * 1000);
    CU_ASSERT_EQUAL(pair.listener.refusals, 1);
    CU_ASSERT_EQUAL(pair.listener.reason, SL_TIMEOUT);
    close(descriptor);
    close_pair(&pair);
}

/// The frames in a buffer, given to the other channel one by one.
static enum SlStatus
give_frames(struct SlChannel *channel, struct SlBuffer *from,
            struct SlBuffer *out)
{
    struct SlFrameReader reader = {.consumed_bytes = 0};
    enum SlStatus status = SL_OK;
    const uint8_t *plain;
    uint32_t plain_bytes;
    uint32_t body_bytes;
    uint8_t *body;

    SlFrameReader_Feed(&reader, from->bytes, from->length_bytes);
    SlBuffer_Clear(from);
    while (status == SL_OK &&
           SlFrameReader_Next(&reader, SL_CHANNEL_BODY_MAX_BYTES, &body,
                              &body_bytes) == SL_OK) {
        status = SlChannel_Receive(channel, body, body_bytes, out, &plain,
                                   &plain_bytes);
    }
    SlFrameReader_Release(&reader);
    return status;
}

static void
test_recorded_frames_do_not_open_a_channel(void)
{
    struct SlKeyring keyring = keyring_of(1, 0);
    struct SlBuffer to_listener = {.bytes = NULL};
    struct SlBuffer to_dialler = {.bytes = NULL};
    struct SlBuffer recorded = {.bytes = NULL};
    struct SlChannel *dialler = SlChannel_Create(&keyring, true, &to_listener);
    struct SlChannel *listener =
        SlChannel_Create(&keyring, false, &to_dialler);
    struct SlChannel *other = SlChannel_Create(&keyring, false, &to_dialler);

    SlBuffer_Append(&recorded, to_listener.bytes, to_listener.length_bytes);
    CU_ASSERT_EQUAL(give_frames(listener, &to_listener, &to_dialler), SL_OK);
    CU_ASSERT_EQUAL(give_frames(dialler, &to_dialler, &to_listener), SL_OK);
    SlBuffer_Append(&recorded, to_listener.bytes, to_listener.length_bytes);
    CU_ASSERT_EQUAL(give_frames(listener, &to_listener, &to_dialler), SL_OK);
    CU_ASSERT_TRUE(SlChannel_IsOpen(listener) && SlChannel_IsOpen(dialler));
    CU_ASSERT_EQUAL(give_frames(other, &recorded, &to_dialler), SL_FORBIDDEN);
    CU_ASSERT_FALSE(SlChannel_IsOpen(other));
    SlChannel_Destroy(dialler);
    SlChannel_Destroy(listener);
    SlChannel_Destroy(other);
    SlBuffer_Release(&to_listener);
    SlBuffer_Release(&to_dialler);
    SlBuffer_Release(&recorded);
}

static void
test_a_sealed_frame_changed_dropped_or_repeated_is_refused(void)
{
    for (int fault = 0; fault < 3; fault++) {
        struct SlKeyring keyring = keyring_of(1, 0);
        struct SlBuffer to_listener = {.bytes = NULL};
        struct SlBuffer to_dialler = {.bytes = NULL};
        struct SlChannel *dialler =
            SlChannel_Create(&keyring, true, &to_listener);
        struct SlChannel *listener =
            SlChannel_Create(&keyring, false, &to_dialler);
        size_t first;

        give_frames(listener, &to_listener, &to_dialler);
        give_frames(dialler, &to_dialler, &to_listener);
        give_frames(listener, &to_listener, &to_dialler);
        SlChannel_Seal(dialler, (const uint8_t *)"one", 3, &to_listener);
        first = to_listener.length_bytes;
        if (fault == 0) {
            to_listener.bytes[first - 1] ^= 1;
        }
        else if (fault == 1) {
            SlBuffer_Clear(&to_listener);
            SlChannel_Seal(dialler, (const uint8_t *)"two", 3, &to_listener);
        }
        else {
            uint8_t again[64];

            memcpy(again, to_listener.bytes, first);
            SlBuffer_Append(&to_listener, again, first);
        }
        CU_ASSERT_EQUAL(give_frames(listener, &to_listener, &to_dialler),
                        SL_FORBIDDEN);
        SlChannel_Destroy(dialler);
        SlChannel_Destroy(listener);
        SlBuffer_Release(&to_listener);
        SlBuffer_Release(&to_dialler);
    }
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"messages pass both ways", test_messages_pass_both_ways},
        {"wrong key is refused both ways",
         test_wrong_key_is_refused_both_ways},
        {"links of a key that is gone end",
         test_links_of_a_key_that_is_gone_end},
        {"a silent peer is dialled again", test_silent_peer_is_dialled_again},
        {"an idle link stays up", test_idle_link_stays_up},
        {"a peer that takes nothing is closed at the bound",
         test_peer_that_takes_nothing_is_closed_at_the_bound},
        {"bytes that are no greeting are refused",
         test_bytes_that_are_no_greeting_are_refused},
        {"half a greeting ends with the handshake time",
         test_half_a_greeting_ends_with_the_handshake_time},
        {"recorded frames do not open a channel",
         test_recorded_frames_do_not_open_a_channel},
        {"a sealed frame changed, dropped or repeated is refused",
         test_a_sealed_frame_changed_dropped_or_repeated_is_refused},
    };

    return RUN_SUITE("link", CASES);
}
