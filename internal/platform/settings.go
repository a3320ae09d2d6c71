package platform

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"irispost/internal/wire"
)

// settings maps the path of each platform setting, such as lanes.0.name, to its value.
type settings map[string]string

// duration returns a setting that is given in milliseconds, or 0 if it is missing, malformed or not above 0.
func (s settings) duration(path string) time.Duration {
	ns, ok := wire.ParseTime([]byte(s[path]))
	if !ok || ns < 0 {
		return 0
	}
	return time.Duration(ns)
}

// flatten calls set for each value of a JSON tree. A list of scalars becomes one comma-separated text; any other list
// becomes its count and its items, as in the first message of the frame protocol.
func flatten(path string, value any, set func(path, value string)) {
	switch value := value.(type) {
	case map[string]any:
		for name, item := range value {
			flatten(join(path, name), item, set)
		}
	case []any:
		flattenList(path, value, set)
	case nil:
	default:
		set(path, plainText(value))
	}
}

func flattenList(path string, list []any, set func(path, value string)) {
	if plain, ok := plainTexts(list); ok {
		set(path, strings.Join(plain, ","))
		return
	}
	set(join(path, "count"), strconv.Itoa(len(list)))
	for i, item := range list {
		flatten(join(path, strconv.Itoa(i)), item, set)
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// plainTexts returns the texts of a list of scalars. It returns false if the list is empty or has an object or a list
// in it.
func plainTexts(list []any) (texts []string, ok bool) {
	for _, item := range list {
		switch item.(type) {
		case map[string]any, []any:
			return nil, false
		}
		texts = append(texts, plainText(item))
	}
	return texts, len(list) > 0
}

// plainText returns a JSON scalar as text; null becomes the empty string.
func plainText(value any) string {
	switch value := value.(type) {
	case json.Number:
		return value.String()
	case string:
		return value
	case bool:
		return strconv.FormatBool(value)
	}
	return ""
}
