package bundle

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
)

// Change is one difference between two bundles.
type Change struct {
	// Path is the path of the field. List items are identified by their name or ID, as in
	// pools[spare].budget.max_unavailable.
	Path string `json:"path"`
	// Old and New are the values in JSON. They are empty if the field is absent.
	Old string `json:"old"`
	New string `json:"new"`
}

// String formats the change as one line.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
}

// Diff returns the changes from a to b, sorted by path. It ignores the order of a list if all its items are strings or
// have a name or ID.
func Diff(a, b *Bundle) []Change {
	var changes []Change
	diffValue(jsonValue(a), jsonValue(b), "", &changes)
	sort.Slice(changes, func(i, j int) bool { return changes[i].Path < changes[j].Path })
	return changes
}

// jsonValue returns the bundle as decoded JSON: maps, slices and scalars.
func jsonValue(b *Bundle) any {
	decoder := json.NewDecoder(bytes.NewReader(b.Canonical()))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		panic(err) // the canonical form is valid JSON
	}
	return value
}

// diffValue appends the differences between a and b. It descends into objects and lists of named items and compares all
// other values as a whole. nil stands for an absent value.
func diffValue(a, b any, path string, changes *[]Change) {
	oldFields, oldOK := elementsByKey(a)
	newFields, newOK := elementsByKey(b)
	if !oldOK || !newOK {
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

// addChange appends a change if the JSON of a and b differs.
func addChange(a, b any, path string, changes *[]Change) {
	oldText, newText := jsonText(a), jsonText(b)
	if oldText != newText {
		*changes = append(*changes, Change{Path: path, Old: oldText, New: newText})
	}
}

// elementKey identifies an element of an object or list: the name of a field, or the name or ID of a list item.
type elementKey struct {
	name   string
	inList bool
}

// suffix returns what the element adds to the path of its object or list.
func (k elementKey) suffix(path string) string {
	switch {
	case k.inList:
		return "[" + k.name + "]"
	case path == "":
		return k.name
	}
	return "." + k.name
}

// elementsByKey returns the fields of an object or the items of a list, keyed by name. It returns false for all other
// values and for lists that contain an item without a name.
func elementsByKey(value any) (map[elementKey]any, bool) {
	fields := map[elementKey]any{}
	switch value := value.(type) {
	case map[string]any:
		for name, field := range value {
			fields[elementKey{name: name}] = field
		}
	case []any:
		for _, item := range value {
			name, ok := itemName(item)
			if !ok {
				return nil, false
			}
			fields[elementKey{name: name, inList: true}] = item
		}
	default:
		return nil, false
	}
	return fields, true
}

// itemName returns the ID or name of a list item. A string is its own name.
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

// jsonText returns a value as JSON, or the empty string for nil.
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
