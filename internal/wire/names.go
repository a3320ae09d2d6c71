package wire

import (
	"strings"

	"irispost/scheduler"
)

// names tells what the module calls a start value. "#" stands for an item's number. Others are left out.
var names = map[string]string{
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

// words are the wire's words for the values of two start values.
var words = map[string]map[string]string{
	"kind":  {"read_like": "replayable", "idempotency_key": "referenced", "non_idempotent": "single-use"},
	"group": {"cell": "shard"},
}

// KnownEffect tells whether the wire has such a word for what a repeat of a product's job may do, Group whether it has one for the nodes that know it.
func KnownEffect(word string) bool { return words["kind"][word] != "" }

// KnownGroup is told of with Kind.
func KnownGroup(word string) bool {
	return word == "all" || word == "zone" || words["group"][word] != ""
}

// ReadSettings reads the start values that are left on the line.
func ReadSettings(f *Fields) scheduler.Settings {
	terms := scheduler.Settings{}
	for f.More() {
		if path, value, ok := strings.Cut(string(f.optional()), "="); ok {
			TranslateSetting(terms, path, value)
		}
	}
	return terms
}

// TranslateSetting adds a start value to the terms by the name that the module knows it by. One that it does not know is left out.
func TranslateSetting(terms scheduler.Settings, path, value string) {
	list, rest, _ := strings.Cut(path, ".")
	number, field, isItem := strings.Cut(rest, ".")
	isItem = isItem && number != "" && strings.Trim(number, "0123456789") == ""
	if isItem {
		path = list + ".#." + field
	}
	name, known := names[path]
	if !known {
		return
	}
	if isItem {
		name = strings.Replace(name, "#", number, 1)
	}
	if ours, ok := words[name[strings.LastIndexByte(name, '.')+1:]][value]; ok {
		value = ours
	}
	terms[name] = value
}

// outcomes by completion code.
var outcomes = [...]scheduler.Outcome{scheduler.OutcomeError, scheduler.OutcomeServed, scheduler.OutcomeOverloaded, scheduler.OutcomeTimeout, scheduler.OutcomeConnectFailed,
	scheduler.OutcomeReset, scheduler.OutcomeCancelled, scheduler.OutcomeMisdirected}

// Outcome reads a completion code.
func (f *Fields) Outcome(name string) scheduler.Outcome {
	code := f.Int(name)
	if code < 0 || code >= int64(len(outcomes)) {
		f.fail(name, "no such completion code")
		return scheduler.OutcomePending
	}
	return outcomes[code]
}

// Availability reads what the list says of a node.
func (f *Fields) Availability(name string) scheduler.EndpointState {
	switch s := f.Text(name); s {
	case "ready":
		return scheduler.EndpointReady
	case "draining":
		return scheduler.EndpointDraining
	case "gone":
	default:
		f.fail(name, "no such availability: "+s)
	}
	return scheduler.EndpointRemoved
}
