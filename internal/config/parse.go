package config

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

const (
	listSeparator    = ","
	listCountKey     = "count"
	keyPathSeparator = "."
)

// ParsePairs reads settings from lines of the form key=value, and ignores all other lines.
func ParsePairs(text string) *Settings {
	pairs := &keyValues{values: map[string]string{}}
	for _, line := range strings.Split(text, "\n") {
		if key, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			pairs.values[key] = value
		}
	}
	return &Settings{pairs}
}

// parseJSON flattens a JSON object into the pairs that ParsePairs would read. The names of nested keys are joined by dots.
// A list of objects becomes a pair with the key LIST.count and the pairs of each object under LIST.0, LIST.1 and so on. A
// list of scalars becomes one value, separated by commas.
func parseJSON(name string, raw []byte) (*Settings, error) {
	var root any
	if err := json.Unmarshal(raw, &root); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if _, ok := root.(map[string]any); !ok {
		return nil, fmt.Errorf("%s is not a JSON object", name)
	}
	pairs := &keyValues{prefix: name + keyPathSeparator, values: map[string]string{}}
	pairs.flatten("", root)
	return &Settings{pairs}, nil
}

func (v *keyValues) flatten(path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for key, inner := range value {
			v.flatten(joinKey(path, key), inner)
		}
	case []any:
		v.flattenList(path, value)
	case nil: // null is treated as an absent key
	default:
		v.values[path] = formatScalar(value)
	}
}

func (v *keyValues) flattenList(path string, list []any) {
	var scalars []string
	for i, inner := range list {
		switch inner.(type) {
		case map[string]any, []any:
			v.flatten(joinKey(path, strconv.Itoa(i)), inner)
		default:
			scalars = append(scalars, formatScalar(inner))
		}
	}
	if len(scalars) < len(list) || len(list) == 0 {
		v.values[joinKey(path, listCountKey)] = strconv.Itoa(len(list))
		return
	}
	v.values[path] = strings.Join(scalars, listSeparator)
}

func joinKey(path, key string) string {
	return strings.TrimPrefix(path+keyPathSeparator+key, keyPathSeparator)
}

func formatScalar(value any) string {
	if number, ok := value.(float64); ok {
		return strconv.FormatFloat(number, 'g', -1, 64)
	}
	return fmt.Sprint(value)
}
