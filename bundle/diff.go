package bundle

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
)

// Change is one difference between two bundles.
type Change struct {
	// Path names list items by their name or ID, such as pools[spare].budget.max_unavailable.
	Path string `json:"path"`
	// Old and New are JSON; empty where the field is absent.
	Old string `json:"old"`
	New string `json:"new"`
}

// String returns the change on one line.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
}

// Diff returns the changes from a to b, sorted by path. The order of list items that have a name does not count.
func Diff(a, b *Bundle) []Change {
	var changes []Change
	diffValue(generic(a), generic(b), "", &changes)
	sort.Slice(changes, func(i, j int) bool { return changes[i].Path < changes[j].Path })
	return changes
}

// generic returns the bundle as maps and lists, with lists of named items as maps by name.
func generic(b *Bundle) any {
	decoder := json.NewDecoder(bytes.NewReader(b.Canonical()))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		panic(err) // the canonical form is valid JSON
	}
	return value
}

func diffValue(a, b any, path string, changes *[]Change) {
	oldFields, oldKeyed := keyed(a)
	newFields, newKeyed := keyed(b)
	if !oldKeyed || !newKeyed {
		addChange(a, b, path, changes)
		return
	}
	for key, old := range oldFields {
		diffValue(old, newFields[key], path+key.suffix(path), changes)
	}
	for key, value := range newFields {
		if _, ok := oldFields[key]; !ok {
			diffValue(nil, value, path+key.suffix(path), changes)
		}
	}
}

func addChange(a, b any, path string, changes *[]Change) {
	oldText, newText := jsonText(a), jsonText(b)
	if oldText != newText {
		*changes = append(*changes, Change{Path: path, Old: oldText, New: newText})
	}
}

// fieldKey is the key of an object's field or the name of a list's item.
type fieldKey struct {
	name string
	item bool
}

func (k fieldKey) suffix(path string) string {
	switch {
	case k.item:
		return "[" + k.name + "]"
	case path == "":
		return k.name
	}
	return "." + k.name
}

// keyed returns the fields of an object or the items of a list by name. It is false for everything else.
func keyed(value any) (map[fieldKey]any, bool) {
	fields := map[fieldKey]any{}
	switch value := value.(type) {
	case map[string]any:
		for name, field := range value {
			fields[fieldKey{name: name}] = field
		}
	case []any:
		for _, item := range value {
			name, ok := itemName(item)
			if !ok {
				return nil, false
			}
			fields[fieldKey{name: name, item: true}] = item
		}
	default:
		return nil, false
	}
	return fields, true
}

// itemName returns the name of a list's item. A string is its own name.
func itemName(item any) (string, bool) {
	switch item := item.(type) {
	case string:
		return item, true
	case map[string]any:
		for _, field := range []string{"id", "name"} {
			if name, ok := item[field].(string); ok {
				return name, true
			}
		}
	}
	return "", false
}

func jsonText(value any) string {
	if value == nil {
		return ""
	}
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // the value was decoded from JSON
	}
	return string(text)
}
