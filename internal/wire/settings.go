package wire

import (
	"strings"

	"irispost/scheduler"
)

// settingNames maps each setting's path on the wire to the scheduler's name. "#" replaces the index of a list item.
// Settings that are not in the map are ignored.
var settingNames = map[string]string{
	"balancers":                      "gateways",
	"slot_no":                        "number",
	"discovery":                      "discovery",
	"contract.answer_slack_ms":       "answer.slack",
	"contract.ask_every_ms":          "list.every",
	"contract.cold_from":             "cold.from",
	"contract.cold_ms":               "cold.time",
	"contract.fall_multiple":         "cold.multiple",
	"contract.overload_for_ms":       "cold.window",
	"domain.young_limit":             "cold.units",
	"contract.drain_grace_ms":        "drain.grace",
	"contract.free_resends":          "further.free",
	"contract.repeat_ratio":          "further.share",
	"contract.look_back_ms":          "further.window",
	"contract.key_rest_ms":           "key.rest",
	"contracts.count":                "plans.count",
	"contracts.#.name":               "plans.#.name",
	"contracts.#.proportion":         "plans.#.weight",
	"contracts.#.base_rate":          "plans.#.rate",
	"contracts.#.floor_rate":         "plans.#.reserve",
	"contracts.#.never_over":         "plans.#.limit",
	"contracts.#.burst":              "plans.#.burst",
	"contracts.#.cap_slack":          "plans.#.slack",
	"contracts.#.price":              "plans.#.price",
	"domain.unit_mean":               "units.mean",
	"domain.largest":                 "units.largest",
	"domain.metering_ms":             "meter.period",
	"domain.share_worth":             "share.payoff",
	"domain.spare_worth":             "spare.payoff",
	"domain.tells_elsewhere":         "tells.others",
	"lanes.count":                    "products.count",
	"lanes.#.name":                   "products.#.name",
	"lanes.#.target_ms":              "products.#.goal",
	"lanes.#.hard_limit_ms":          "products.#.patience",
	"lanes.#.credit":                 "products.#.payoff",
	"lanes.#.late_worth":             "products.#.late",
	"lanes.#.effect":                 "products.#.kind",
	"lanes.#.group":                  "products.#.group",
	"lanes.#.repeat_window_ms":       "products.#.window",
	"lanes.#.streamed":               "products.#.streamed",
	"lanes.#.in_turn":                "products.#.in_turn",
	"permissions.cancelling":         "calling_off",
	"permissions.attempts_cap":       "executions.most",
	"permissions.probes":             "probes",
	"permissions.retry_after":        "retry_after",
	"permissions.max_retry_after_ms": "retry_after.most",
	"permissions.second_copies":      "second_copies",
	"resolution_ms":                  "tick",
}

// settingValues maps values on the wire to the scheduler's, by the last part of the scheduler's name of the setting.
// All other values are the same on both sides.
var settingValues = map[string]map[string]string{
	"kind":  {"read_like": "replayable", "idempotency_key": "referenced", "non_idempotent": "single-use"},
	"group": {"cell": "shard"},
}

// KnownEffect reports whether word is a value of the wire for the idempotency of a request class.
func KnownEffect(word string) bool { return settingValues["kind"][word] != "" }

// KnownGroup reports whether word is a value of the wire for the group of nodes that recognize a repeated request by
// its idempotency key.
func KnownGroup(word string) bool {
	return word == "all" || word == "zone" || settingValues["group"][word] != ""
}

// ReadSettings reads the remaining fields of a line as settings of the form PATH=VALUE. It ignores fields without a
// "=".
func ReadSettings(f *Fields) scheduler.Settings {
	settings := scheduler.Settings{}
	for f.More() {
		path, value, ok := strings.Cut(string(f.optional()), "=")
		if ok {
			TranslateSetting(settings, path, value)
		}
	}
	return settings
}

// TranslateSetting adds a setting of the wire to settings, under the scheduler's name and with the scheduler's value.
// It ignores a setting that the scheduler does not know.
func TranslateSetting(settings scheduler.Settings, path, value string) {
	path, item, isItem := cutItem(path)
	name, known := settingNames[path]
	if !known {
		return
	}
	if isItem {
		name = strings.Replace(name, "#", item, 1)
	}
	lastPart := name[strings.LastIndexByte(name, '.')+1:]
	if word, ok := settingValues[lastPart][value]; ok {
		value = word
	}
	settings[name] = value
}

// cutItem splits a path LIST.INDEX.FIELD into the pattern LIST.#.FIELD and the index. Any other path is returned
// unchanged.
func cutItem(path string) (pattern, item string, isItem bool) {
	list, rest, _ := strings.Cut(path, ".")
	item, field, hasField := strings.Cut(rest, ".")
	if !hasField || item == "" || strings.Trim(item, "0123456789") != "" {
		return path, "", false
	}
	return list + ".#." + field, item, true
}
