/* The configuration's state machine: compare-and-set, resends, holds, labels
   and selectors. */

#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

#include "savoryledge/state/config.h"
#include "test.h"

static uint64_t next_index;

static struct SlResult
apply(struct SlConfig *config, const struct SlChange *change)
{
    struct SlVersion version = {.term = 1, .index = ++next_index};
    struct SlResult result;

    SlConfig_Apply(config, version, change, &result);
    return result;
}

static struct SlChange
create(enum SlKind kind, const char *name, const char *selector)
{
    struct SlChange change = {.verb = SL_VERB_CREATE,
                              .object = {.kind = kind}};

    snprintf(change.object.name, SL_NAME_BYTES, "%s", name);
    snprintf(change.object.selector, SL_SELECTOR_BYTES, "%s", selector);
    SlAddress_Parse("10.0.0.1:80", &change.object.service.address);
    change.object.service.protocol = IPPROTO_TCP;
    return change;
}

static struct SlChange
announce(const char *name, const char *zone, const char *app)
{
    struct SlChange change = {.verb = SL_VERB_ANNOUNCE,
                              .object = {.kind = SL_KIND_NODE,
                                         .node = {.node_id = SlNode_Id(name),
                                                  .roles = SL_ROLE_AGENT,
                                                  .slots = 3,
                                                  .capacity_flows = 2000}}};

    snprintf(change.object.name, SL_NAME_BYTES, "%s", name);
    snprintf(change.object.node.zone, SL_NAME_BYTES, "%s", zone);
    SlLabels_Set(&change.object.node.announced, "app", app);
    return change;
}

static struct SlChange
hold(enum SlVerb verb, const char *zone, const char *key)
{
    struct SlChange change = {.verb = verb, .object = {.kind = SL_KIND_ZONE}};

    snprintf(change.object.name, SL_NAME_BYTES, "%s", zone);
    snprintf(change.hold.key, SL_HOLD_KEY_BYTES, "%s", key);
    return change;
}

static void
test_compare_and_set(void)
{
    struct SlConfig *config = SlConfig_Create();
    struct SlChange change = create(SL_KIND_ZONE, "a", "");
    struct SlResult created = apply(config, &change);
    struct SlResult result;

    CU_ASSERT_EQUAL(created.status, SL_OK);
    CU_ASSERT_EQUAL(apply(config, &change).status, SL_CONFLICT);
    change.verb = SL_VERB_LABEL;
    change.expected = created.object.modified;
    SlLabels_Set(&change.object.labels, "room", "north");
    CU_ASSERT_EQUAL(apply(config, &change).status, SL_OK);
    SlLabels_Set(&change.object.labels, "room", "south");
    result = apply(config, &change);
    CU_ASSERT_EQUAL(result.status, SL_CONFLICT);
    CU_ASSERT(result.has_object);
    CU_ASSERT_STRING_EQUAL(SlLabels_Get(&result.object.labels, "room"),
                           "north");
    SlConfig_Destroy(config);
}

static void
test_resend_returns_first_result(void)
{
    struct SlConfig *config = SlConfig_Create();
    struct SlChange change = create(SL_KIND_ZONE, "a", "");
    struct SlChange other = create(SL_KIND_ZONE, "b", "");
    struct SlResult first;
    struct SlResult again;

    change.client = 5;
    change.request = 1;
    first = apply(config, &change);
    again = apply(config, &change);
    CU_ASSERT_EQUAL(first.status, SL_OK);
    CU_ASSERT_EQUAL(memcmp(&first, &again, sizeof(first)), 0);
    other.client = 6;
    for (uint64_t i = 0; i < SL_REMEMBERED_RESULTS_MAX; i++) {
        other.request = i + 1;
        other.base = SlConfig_Version(config);
        apply(config, &other);
    }
    CU_ASSERT_PTR_NULL(SlConfig_FindResult(config, 5, 1));
    CU_ASSERT_EQUAL(apply(config, &change).status, SL_TOO_OLD);
    other.request++;
    other.base = SlConfig_Version(config);
    CU_ASSERT_EQUAL(apply(config, &other).status, SL_CONFLICT);
    SlConfig_Destroy(config);
}

static void
test_holds_of_several_operators(void)
{
    struct SlConfig *config = SlConfig_Create();
    struct SlChange change = create(SL_KIND_ZONE, "a", "");

    apply(config, &change);
    change = hold(SL_VERB_HOLD, "a", "bat");
    CU_ASSERT_EQUAL(apply(config, &change).status, SL_OK);
    change = hold(SL_VERB_HOLD, "a", "oyuna");
    CU_ASSERT_EQUAL(apply(config, &change).status, SL_OK);
    change = hold(SL_VERB_RELEASE, "a", "bat");
    CU_ASSERT_EQUAL(apply(config, &change).status, SL_OK);
    CU_ASSERT(SlConfig_IsZoneOut(config, "a"));
    CU_ASSERT_EQUAL(apply(config, &change).status, SL_NOT_FOUND);
    change = hold(SL_VERB_RELEASE, "a", "oyuna");
    CU_ASSERT_EQUAL(apply(config, &change).status, SL_OK);
    CU_ASSERT_FALSE(SlConfig_IsZoneOut(config, "a"));
    SlConfig_Destroy(config);
}

static void
test_operator_labels_survive_announcements(void)
{
    struct SlConfig *config = SlConfig_Create();
    struct SlChange node = announce("u1", "a", "workroom");
    struct SlChange label = {.verb = SL_VERB_LABEL,
                             .object = {.kind = SL_KIND_NODE, .name = "u1"}};
    const struct SlObject *object;

    apply(config, &node);
    SlLabels_Set(&label.unset, "app", "any");
    SlLabels_Set(&label.object.labels, "tier", "gold");
    CU_ASSERT_EQUAL(apply(config, &label).status, SL_OK);
    apply(config, &node);
    object = SlConfig_FindObject(config, SL_KIND_NODE, "u1");
    CU_ASSERT_PTR_NULL(SlObject_Label(object, "app"));
    CU_ASSERT_STRING_EQUAL(SlObject_Label(object, "tier"), "gold");
    SlConfig_Destroy(config);
}

static void
test_selectors_pick_through_groups(void)
{
    struct SlConfig *config = SlConfig_Create();
    struct SlChange changes[] = {
        create(SL_KIND_SERVICE, "workroom", "name=stitchers"),
        create(SL_KIND_GROUP, "stitchers", "app=workroom,zone.room!=south"),
        create(SL_KIND_ZONE, "a", ""),
        create(SL_KIND_ZONE, "b", ""),
        announce("u1", "a", "workroom"),
        announce("u2", "b", "workroom"),
        announce("u3", "a", "catalogue"),
    };
    const struct SlObject *nodes[4];
    uint32_t count;
    const struct SlObject *service;

    SlLabels_Set(&changes[3].object.labels, "room", "south");
    for (size_t i = 0; i < sizeof(changes) / sizeof(changes[0]); i++) {
        CU_ASSERT_EQUAL(apply(config, &changes[i]).status, SL_OK);
    }
    service = SlConfig_FindObject(config, SL_KIND_SERVICE, "workroom");
    CU_ASSERT_EQUAL(SlConfig_SelectNodes(config, service, nodes, 4, &count),
                    SL_OK);
    CU_ASSERT_EQUAL(count, 1);
    CU_ASSERT_STRING_EQUAL(nodes[0]->name, "u1");
    for (uint32_t i = 0; i < SlConfig_ObjectCount(config, SL_KIND_NODE); i++) {
        const struct SlObject *node =
            SlConfig_ObjectAt(config, SL_KIND_NODE, i);

        CU_ASSERT_EQUAL(SlConfig_Selects(config, service, node),
                        node == nodes[0]);
    }
    SlConfig_Destroy(config);
}

static const char *
lookup_sample(const void *context, const char *key)
{
    (void)context;
    return strcmp(key, "app") == 0    ? "workroom"
           : strcmp(key, "rack") == 0 ? "r2"
                                      : NULL;
}

static void
test_selector_terms(void)
{
    static const struct {
        const char *selector;
        bool matches;
    } ROWS[] = {
        {"", true},
        {"app=workroom", true},
        {"app = workroom , rack", true},
        {"app!=workroom", false},
        {"app in (catalogue, workroom)", true},
        {"app in (work)", false},
        {"app not in (catalogue)", true},
        {"rack not in (r1,r2)", false},
        {"!disk", true},
        {"!rack", false},
        {"disk", false},
    };
    static const char *const BAD[] = {"=",    "a=",       "a in ()", "a in (b",
                                      "a,",   "a b",      ",a",      "!a=b",
                                      "a==b", "a in (,)", "a=b;c"};
    struct SlError error;

    for (size_t i = 0; i < sizeof(ROWS) / sizeof(ROWS[0]); i++) {
        CU_ASSERT_EQUAL(SlSelector_Check(ROWS[i].selector, &error), SL_OK);
        CU_ASSERT_EQUAL(
            SlSelector_Matches(ROWS[i].selector, lookup_sample, NULL),
            ROWS[i].matches);
    }
    for (size_t i = 0; i < sizeof(BAD) / sizeof(BAD[0]); i++) {
        CU_ASSERT_EQUAL(SlSelector_Check(BAD[i], &error), SL_MALFORMED);
    }
}

static void
test_clone_is_apart(void)
{
    struct SlConfig *config = SlConfig_Create();
    struct SlChange change = create(SL_KIND_ZONE, "a", "");
    struct SlConfig *clone;

    apply(config, &change);
    clone = SlConfig_Clone(config);
    change = hold(SL_VERB_HOLD, "a", "bat");
    apply(config, &change);
    CU_ASSERT_FALSE(SlConfig_IsZoneOut(clone, "a"));
    SlConfig_Destroy(config);
    CU_ASSERT_EQUAL(SlConfig_ObjectCount(clone, SL_KIND_ZONE), 1);
    SlConfig_Destroy(clone);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"compare and set", test_compare_and_set},
        {"resend returns first result", test_resend_returns_first_result},
        {"holds of several operators", test_holds_of_several_operators},
        {"operators' labels survive announcements",
         test_operator_labels_survive_announcements},
        {"selectors pick through groups", test_selectors_pick_through_groups},
        {"selector terms", test_selector_terms},
        {"clone is apart", test_clone_is_apart},
    };

    return RUN_SUITE("config", CASES);
}
