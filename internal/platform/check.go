package platform

import (
	"fmt"
	"strconv"

	"irispost/internal/wire"
)

// check refuses settings that nobody could act on. It tells of the first by its name in the configuration, with its value.
func check(settings map[string]string) error {
	number := func(name string, least float64, needed bool) error {
		v, ok := settings[name]
		if !ok && !needed {
			return nil
		}
		if f, err := strconv.ParseFloat(v, 64); !ok || err != nil || !(f >= least) || f > 1e15 {
			return fmt.Errorf("settings: %s is %s, and has to be a number from %g on", name, told(v, ok), least)
		}
		return nil
	}
	list := func(name string, item func(at string) error) error {
		count, err := strconv.Atoi(settings[name+".count"])
		if err != nil && settings[name+".count"] != "" || count == 0 && name == "lanes" {
			return fmt.Errorf("settings: %s names none", name)
		}
		seen := map[string]int{}
		for i := range count {
			at := name + "." + strconv.Itoa(i)
			called, ok := settings[at+".name"]
			if o, twice := seen[called]; twice || !ok || called == "" {
				if !twice {
					return fmt.Errorf("settings: %s.name is %s", at, told(called, ok))
				}
				return fmt.Errorf("settings: %s.name is %q, as that of %s.%d", at, called, name, o)
			}
			seen[called] = i
			if err := item(at); err != nil {
				return err
			}
		}
		return nil
	}
	word := func(name string, known func(string) bool, needed bool) error {
		if v, ok := settings[name]; ok && !known(v) || !ok && needed {
			return fmt.Errorf("settings: %s is %s, which is not known", name, told(v, ok))
		}
		return nil
	}
	first := func(errs ...error) error {
		for _, err := range errs {
			if err != nil {
				return err
			}
		}
		return nil
	}
	classes := list("lanes", func(at string) error {
		return first(number(at+".target_ms", 0, false), number(at+".hard_limit_ms", 0, true), number(at+".repeat_window_ms", 0, false),
			word(at+".effect", wire.KnownEffect, true), word(at+".group", wire.KnownGroup, false))
	})
	plans := list("contracts", func(at string) error {
		return first(number(at+".proportion", 0, false), number(at+".base_rate", 0, false), number(at+".floor_rate", 0, false),
			number(at+".never_over", 0, false), number(at+".burst", 0, settings[at+".never_over"] != "" && !zero(settings[at+".never_over"])))
	})
	return first(classes, plans,
		number("contract.drain_grace_ms", 0, false), number("contract.cold_ms", 0, false), number("contract.cold_from", 0, false),
		number("contract.fall_multiple", 0, false), number("contract.overload_for_ms", 0, false), number("contract.ask_every_ms", 0, false),
		number("contract.free_resends", 0, false), number("contract.repeat_ratio", 0, false), number("contract.look_back_ms", 0, false),
		number("contract.key_rest_ms", 0, false), number("domain.unit_mean", 0, false), number("domain.largest", 0, false), number("domain.young_limit", 0, false),
		number("permissions.attempts_cap", 1, false), number("permissions.max_retry_after_ms", 0, false),
		number("permissions.dial_timeout_ms", 0, false), number("permissions.idle_close_ms", 0, false))
}

func zero(v string) bool {
	f, err := strconv.ParseFloat(v, 64)
	return err == nil && f == 0
}

func told(v string, ok bool) string {
	if !ok {
		return "missing"
	}
	return strconv.Quote(v)
}
