package deployment

import (
	"fmt"
	"maps"
	"slices"
)

// checkReplacement returns an error if a node file can't replace the one in force. A file may omit optional keys at the start
// only: at a reload, a key that the file in force had may be missing because the file was written incompletely.
func checkReplacement(previous, next *NodeConfig) error {
	for i, deadline := range next.Settings.Deadlines {
		if deadline <= 0 {
			return classKeyError(i, "OuterLimitUs")
		}
		if next.Settings.Policy.Classes[i].SetupObjective <= 0 {
			return classKeyError(i, "LatencyGoalUs")
		}
	}
	required := maps.Clone(previous.document)
	delete(required, "known") // discovery.Decode has checked its keys
	if !next.Settings.Policy.CanGossip {
		delete(required, "peers") // without gossip the key is not used
	}
	if path := missingKey(required, next.document, ""); path != "" {
		return &KeyError{path[1:], "is missing; the file in force has it"}
	}
	return nil
}

// classKeyError reports a duration of a class that is missing or not positive.
func classKeyError(index int, key string) error {
	return &KeyError{fmt.Sprintf("settings: ServiceGrades[%d].%s", index, key), "is missing or below 1"}
}

// missingKey returns the path of the first key of a JSON value that is missing in its replacement, or "" if none is missing.
// Each element of a list must have the keys that all elements of the previous list had in common.
func missingKey(previous, next any, path string) string {
	switch previous := previous.(type) {
	case map[string]any:
		return missingInObject(previous, next, path)
	case []any:
		return missingInList(previous, next, path)
	}
	return ""
}

func missingInObject(previous map[string]any, next any, path string) string {
	object, _ := next.(map[string]any)
	for _, key := range slices.Sorted(maps.Keys(previous)) {
		value, isPresent := object[key]
		if !isPresent || value == nil && previous[key] != nil {
			return path + "." + key
		}
		if missing := missingKey(previous[key], value, path+"."+key); missing != "" {
			return missing
		}
	}
	return ""
}

func missingInList(previous []any, next any, path string) string {
	list, isList := next.([]any)
	if !isList {
		return path
	}
	common := commonKeys(previous)
	for i, element := range list {
		if missing := missingKey(common, element, fmt.Sprintf("%s[%d]", path, i)); missing != "" {
			return missing
		}
	}
	return ""
}

// commonKeys returns the first of some JSON objects, reduced to the keys that all of them have.
func commonKeys(elements []any) map[string]any {
	var common map[string]any
	for i, element := range elements {
		object, _ := element.(map[string]any)
		if i == 0 {
			common = maps.Clone(object)
		}
		maps.DeleteFunc(common, func(key string, _ any) bool {
			_, isPresent := object[key]
			return !isPresent
		})
	}
	return common
}
