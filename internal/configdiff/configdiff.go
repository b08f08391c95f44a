// Package configdiff compares two versions of a configuration, entry by entry and field by field.
package configdiff

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Change is one difference between two configurations.
type Change struct {
	Kind   string   `json:"kind"` // what the entry is, such as "route" or "team"
	Name   string   `json:"name"`
	Change string   `json:"change"` // "added", "removed" or "changed"
	Fields []string `json:"fields,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	sign := map[string]string{"added": "+", "removed": "-", "changed": "~"}[c.Change]
	line := sign + " " + strings.TrimSpace(c.Kind+" "+c.Name)
	if len(c.Fields) > 0 {
		line += ": " + strings.Join(c.Fields, ", ")
	}
	return line
}

// Named returns what is different in the list b compared to a. Entries are matched by the result of name.
func Named[T any](kind string, a, b []T, name func(T) string) []Change {
	var out []Change
	old := make(map[string]T, len(a))
	for _, item := range a {
		old[name(item)] = item
	}
	kept := make(map[string]bool, len(b))
	for _, item := range b {
		n := name(item)
		kept[n] = true
		before, existed := old[n]
		if !existed {
			out = append(out, Change{Kind: kind, Name: n, Change: "added"})
		} else if fields := Fields(before, item); len(fields) > 0 {
			out = append(out, Change{Kind: kind, Name: n, Change: "changed", Fields: fields})
		}
	}
	for _, item := range a {
		if n := name(item); !kept[n] {
			out = append(out, Change{Kind: kind, Name: n, Change: "removed"})
		}
	}
	return out
}

// Fields returns one line for each field of the JSON forms of a and b that differs, with both values.
func Fields(a, b any) []string {
	before, after := fieldsOf(a), fieldsOf(b)
	names := make(map[string]bool)
	for name := range before {
		names[name] = true
	}
	for name := range after {
		names[name] = true
	}
	var out []string
	for name := range names {
		if !reflect.DeepEqual(before[name], after[name]) {
			out = append(out, name+" "+describeChange(before[name], after[name]))
		}
	}
	slices.Sort(out)
	return out
}

func fieldsOf(v any) map[string]any {
	data, err := json.Marshal(v)
	fields := make(map[string]any)
	if err != nil || json.Unmarshal(data, &fields) != nil {
		return nil
	}
	return fields
}

func describeChange(before, after any) string {
	oldList, wasList := before.([]any)
	newList, isList := after.([]any)
	if !wasList && !isList {
		return fmt.Sprintf("%s -> %s", compact(before), compact(after))
	}
	var parts []string
	for _, item := range newList {
		if !containsDeep(oldList, item) {
			parts = append(parts, "+"+compact(item))
		}
	}
	for _, item := range oldList {
		if !containsDeep(newList, item) {
			parts = append(parts, "-"+compact(item))
		}
	}
	if len(parts) == 0 {
		return "in another order"
	}
	return strings.Join(parts, " ")
}

func containsDeep(list []any, item any) bool {
	return slices.ContainsFunc(list, func(other any) bool { return reflect.DeepEqual(other, item) })
}

func compact(v any) string {
	if v == nil {
		return "none"
	}
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}
