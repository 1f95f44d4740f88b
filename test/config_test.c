/* The state machine of the configuration: compare-and-set, retried requests,
   holds, labels and selectors. */

#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

#include "savoryledge/state/config.h"
#include "test.h"

static uint64_t next_log_index;

static struct SlResult
apply_change(struct SlConfig *config, const struct SlChange *change)
{
    struct SlVersion version = {.term = 1, .index = ++next_log_index};
    struct SlResult result;

    SlConfig_Apply(config, version, change, &result);
    return result;
}

static struct SlChange
make_create_change(enum SlKind kind, const char *name, const char *selector)
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
make_announce_change(const char *name, const char *zone, const char *app)
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
make_hold_change(enum SlVerb verb, const char *zone, const char *key)
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
    struct SlChange change = make_create_change(SL_KIND_ZONE, "a", "");
    struct SlResult created = apply_change(config, &change);
    struct SlResult result;

    CU_ASSERT_EQUAL(created.status, SL_OK);
    CU_ASSERT_EQUAL(apply_change(config, &change).status, SL_CONFLICT);
    change.verb = SL_VERB_LABEL;
    change.expected = created.object.modified;
    SlLabels_Set(&change.object.labels, "room", "north");
    CU_ASSERT_EQUAL(apply_change(config, &change).status, SL_OK);
    SlLabels_Set(&change.object.labels, "room", "south");
    result = apply_change(config, &change);
    CU_ASSERT_EQUAL(result.status, SL_CONFLICT);
    CU_ASSERT(result.has_object);
    CU_ASSERT_STRING_EQUAL(SlLabels_Get(&result.object.labels, "room"),
                           "north");
    SlConfig_Destroy(config);
}

static void
test_retry_returns_first_result(void)
{
    struct SlConfig *config = SlConfig_Create();
    struct SlChange change = make_create_change(SL_KIND_ZONE, "a", "");
    struct SlChange other = make_create_change(SL_KIND_ZONE, "b", "");
    struct SlResult first;
    struct SlResult retried;

    change.client = 5;
    change.request = 1;
    first = apply_change(config, &change);
    retried = apply_change(config, &change);
    CU_ASSERT_EQUAL(first.status, SL_OK);
    CU_ASSERT_EQUAL(memcmp(&first, &retried, sizeof(first)), 0);
    other.client = 6;
    for (uint64_t i = 0; i < SL_REMEMBERED_RESULTS_MAX; i++) {
        other.request = i + 1;
        other.base = SlConfig_Version(config);
        apply_change(config, &other);
    }
    CU_ASSERT_PTR_NULL(SlConfig_FindResult(config, 5, 1));
    CU_ASSERT_EQUAL(apply_change(config, &change).status, SL_TOO_OLD);
    other.request++;
    other.base = SlConfig_Version(config);
    CU_ASSERT_EQUAL(apply_change(config, &other).status, SL_CONFLICT);
    SlConfig_Destroy(config);
}

static void
test_holds_are_independent(void)
{
    struct SlConfig *config = SlConfig_Create();
    struct SlChange change = make_create_change(SL_KIND_ZONE, "a", "");

    apply_change(config, &change);
    change = make_hold_change(SL_VERB_HOLD, "a", "bat");
    CU_ASSERT_EQUAL(apply_change(config, &change).status, SL_OK);
    change = make_hold_change(SL_VERB_HOLD, "a", "oyuna");
    CU_ASSERT_EQUAL(apply_change(config, &change).status, SL_OK);
    change = make_hold_change(SL_VERB_RELEASE, "a", "bat");
    CU_ASSERT_EQUAL(apply_change(config, &change).status, SL_OK);
    CU_ASSERT(SlConfig_IsZoneOutOfService(config, "a"));
    CU_ASSERT_EQUAL(apply_change(config, &change).status, SL_NOT_FOUND);
    change = make_hold_change(SL_VERB_RELEASE, "a", "oyuna");
    CU_ASSERT_EQUAL(apply_change(config, &change).status, SL_OK);
    CU_ASSERT_FALSE(SlConfig_IsZoneOutOfService(config, "a"));
    SlConfig_Destroy(config);
}

static void
test_operator_labels_survive_announcements(void)
{
    struct SlConfig *config = SlConfig_Create();
    struct SlChange node = make_announce_change("u1", "a", "workroom");
    struct SlChange label = {.verb = SL_VERB_LABEL,
                             .object = {.kind = SL_KIND_NODE, .name = "u1"}};
    const struct SlObject *object;

    apply_change(config, &node);
    SlLabels_Set(&label.unset, "app", "any");
    SlLabels_Set(&label.object.labels, "tier", "gold");
    CU_ASSERT_EQUAL(apply_change(config, &label).status, SL_OK);
    apply_change(config, &node);
    object = SlConfig_FindObject(config, SL_KIND_NODE, "u1");
    CU_ASSERT_PTR_NULL(SlObject_Label(object, "app"));
    CU_ASSERT_STRING_EQUAL(SlObject_Label(object, "tier"), "gold");
    SlConfig_Destroy(config);
}

static void
test_services_select_nodes_through_groups(void)
{
    struct SlConfig *config = SlConfig_Create();
    struct SlChange changes[] = {
        make_create_change(SL_KIND_SERVICE, "workroom", "name=stitchers"),
        make_create_change(SL_KIND_GROUP, "stitchers",
                           "app=workroom,zone.room!=south"),
        make_create_change(SL_KIND_ZONE, "a", ""),
        make_create_change(SL_KIND_ZONE, "b", ""),
        make_announce_change("u1", "a", "workroom"),
        make_announce_change("u2", "b", "workroom"),
        make_announce_change("u3", "a", "catalogue"),
    };
    const struct SlObject *nodes[4];
    uint32_t count;
    const struct SlObject *service;

    SlLabels_Set(&changes[3].object.labels, "room", "south");
    for (size_t i = 0; i < sizeof(changes) / sizeof(changes[0]); i++) {
        CU_ASSERT_EQUAL(apply_change(config, &changes[i]).status, SL_OK);
    }
    service = SlConfig_FindObject(config, SL_KIND_SERVICE, "workroom");
    CU_ASSERT_EQUAL(SlConfig_SelectNodes(config, service, nodes, 4, &count),
                    SL_OK);
    CU_ASSERT_EQUAL(count, 1);
    CU_ASSERT_STRING_EQUAL(nodes[0]->name, "u1");
    for (uint32_t i = 0; i < SlConfig_ObjectCount(config, SL_KIND_NODE); i++) {
        const struct SlObject *node =
            SlConfig_ObjectAt(config, SL_KIND_NODE, i);

        CU_ASSERT_EQUAL(SlConfig_ServiceSelectsNode(config, service, node),
                        node == nodes[0]);
    }
    SlConfig_Destroy(config);
}

static const char *
lookup_sample_label(const void *context, const char *key)
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
    } SELECTORS[] = {
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
    static const char *const INVALID_SELECTORS[] = {
        "=",  "a=",   "a in ()", "a in (b",  "a,",   "a b",
        ",a", "!a=b", "a==b",    "a in (,)", "a=b;c"};
    struct SlError error;

    for (size_t i = 0; i < sizeof(SELECTORS) / sizeof(SELECTORS[0]); i++) {
        CU_ASSERT_EQUAL(SlSelector_Check(SELECTORS[i].selector, &error),
                        SL_OK);
        CU_ASSERT_EQUAL(SlSelector_Matches(SELECTORS[i].selector,
                                           lookup_sample_label, NULL),
                        SELECTORS[i].matches);
    }
    for (size_t i = 0;
         i < sizeof(INVALID_SELECTORS) / sizeof(INVALID_SELECTORS[0]); i++) {
        CU_ASSERT_EQUAL(SlSelector_Check(INVALID_SELECTORS[i], &error),
                        SL_MALFORMED);
    }
}

static void
test_clone_is_independent_of_the_original(void)
{
    struct SlConfig *config = SlConfig_Create();
    struct SlChange change = make_create_change(SL_KIND_ZONE, "a", "");
    struct SlConfig *clone;

    apply_change(config, &change);
    clone = SlConfig_Clone(config);
    change = make_hold_change(SL_VERB_HOLD, "a", "bat");
    apply_change(config, &change);
    CU_ASSERT_FALSE(SlConfig_IsZoneOutOfService(clone, "a"));
    SlConfig_Destroy(config);
    CU_ASSERT_EQUAL(SlConfig_ObjectCount(clone, SL_KIND_ZONE), 1);
    SlConfig_Destroy(clone);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"a change with an old expected version is refused",
         test_compare_and_set},
        {"a retry returns the result of the first attempt",
         test_retry_returns_first_result},
        {"a zone stays out until its last hold is released",
         test_holds_are_independent},
        {"operators' labels survive announcements",
         test_operator_labels_survive_announcements},
        {"services select nodes through groups",
         test_services_select_nodes_through_groups},
        {"selectors match labels by their terms", test_selector_terms},
        {"a clone is independent of the original",
         test_clone_is_independent_of_the_original},
    };

    return RUN_SUITE("config", CASES);
}
