package platform

import (
	"fmt"
	"strconv"

	"irispost/internal/wire"
)

// maxNumber is the upper bound of all numeric settings.
const maxNumber = 1e15

// SettingError reports a setting that is missing or invalid.
type SettingError struct {
	Path    string
	Problem string
}

// Error implements error.
func (e *SettingError) Error() string { return "settings: " + e.Path + " " + e.Problem }

// optionalNumbers are the settings that may be missing but otherwise must be numbers of at least 0.
var optionalNumbers = []string{
	"contract.drain_grace_ms",
	"contract.cold_ms",
	"contract.cold_from",
	"contract.fall_multiple",
	"contract.overload_for_ms",
	"contract.ask_every_ms",
	"contract.free_resends",
	"contract.repeat_ratio",
	"contract.look_back_ms",
	"contract.key_rest_ms",
	"domain.unit_mean",
	"domain.largest",
	"domain.young_limit",
}

// optionalPermissions are like optionalNumbers, but are checked last.
var optionalPermissions = []string{
	"permissions.max_retry_after_ms",
	"permissions.dial_timeout_ms",
	"permissions.idle_close_ms",
}

// check returns a SettingError with the path and value of the first setting that is missing or invalid.
func (s settings) check() error {
	if s.isEmptyList("lanes") {
		return &SettingError{"lanes", "has no items"}
	}
	if err := s.checkItems("lanes", s.checkRequestClass); err != nil {
		return err
	}
	if err := s.checkItems("contracts", s.checkServiceLevel); err != nil {
		return err
	}
	if err := s.checkNumbers(optionalNumbers); err != nil {
		return err
	}
	if err := s.checkNumber("permissions.attempts_cap", 1, false); err != nil {
		return err
	}
	return s.checkNumbers(optionalPermissions)
}

func (s settings) checkRequestClass(item string) error {
	if err := s.checkNumber(item+".target_ms", 0, false); err != nil {
		return err
	}
	if err := s.checkNumber(item+".hard_limit_ms", 0, true); err != nil {
		return err
	}
	if err := s.checkNumber(item+".repeat_window_ms", 0, false); err != nil {
		return err
	}
	if err := s.checkEnum(item+".effect", wire.KnownEffect, true); err != nil {
		return err
	}
	return s.checkEnum(item+".group", wire.KnownGroup, false)
}

func (s settings) checkServiceLevel(item string) error {
	for _, field := range []string{".proportion", ".base_rate", ".floor_rate", ".never_over"} {
		if err := s.checkNumber(item+field, 0, false); err != nil {
			return err
		}
	}
	limit := s[item+".never_over"]
	hasLimit := limit != "" && !isZero(limit)
	return s.checkNumber(item+".burst", 0, hasLimit)
}

// checkNumbers checks optional settings that must be numbers of at least 0.
func (s settings) checkNumbers(paths []string) error {
	for _, path := range paths {
		if err := s.checkNumber(path, 0, false); err != nil {
			return err
		}
	}
	return nil
}

// checkNumber checks that a setting is a number from minimum to maxNumber.
func (s settings) checkNumber(path string, minimum float64, required bool) error {
	value, given := s[path]
	if !given && !required {
		return nil
	}
	number, err := strconv.ParseFloat(value, 64)
	if given && err == nil && number >= minimum && number <= maxNumber {
		return nil
	}
	return &SettingError{path, fmt.Sprintf("is %s, but must be a number of at least %g", s.quoted(path), minimum)}
}

// checkEnum checks that a setting has one of the valid values.
func (s settings) checkEnum(path string, valid func(word string) bool, required bool) error {
	value, given := s[path]
	if given && valid(value) || !given && !required {
		return nil
	}
	return &SettingError{path, fmt.Sprintf("is %s, which is not a known value", s.quoted(path))}
}

// isEmptyList reports whether a list is empty or missing.
func (s settings) isEmptyList(path string) bool {
	count, err := strconv.Atoi(s[path+".count"])
	return err != nil || count == 0
}

// checkItems checks each item of a list of objects. The names of the items must be unique.
func (s settings) checkItems(path string, check func(item string) error) error {
	if s[path+".count"] == "" {
		return nil
	}
	count, err := strconv.Atoi(s[path+".count"])
	if err != nil {
		return &SettingError{path, "has no items"}
	}
	indexByName := map[string]int{}
	for i := range count {
		item := path + "." + strconv.Itoa(i)
		name := s[item+".name"]
		if name == "" {
			return &SettingError{item + ".name", "is " + s.quoted(item+".name")}
		}
		if other, duplicate := indexByName[name]; duplicate {
			return &SettingError{item + ".name", fmt.Sprintf("is %q, which is also the name of %s.%d", name, path, other)}
		}
		indexByName[name] = i
		if err := check(item); err != nil {
			return err
		}
	}
	return nil
}

// quoted returns a setting's value for an error message.
func (s settings) quoted(path string) string {
	value, given := s[path]
	if !given {
		return "missing"
	}
	return strconv.Quote(value)
}

func isZero(text string) bool {
	number, err := strconv.ParseFloat(text, 64)
	return err == nil && number == 0
}
