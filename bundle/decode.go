package bundle

import (
	"bytes"
	"reflect"
	"strconv"
	"strings"

	"citrongauge.example/citrongauge/result"
	"citrongauge.example/citrongauge/upstream"

	"github.com/tailscale/hujson"
)

// requiredFields lists the fields that must be present. A required string must not be empty.
var requiredFields = map[reflect.Type][]string{
	reflect.TypeFor[Bundle](): {"version", "author", "reason", "availability_zones", "hosts", "pools", "queues",
		"teams"},
	reflect.TypeFor[Zone]():          {"name"},
	reflect.TypeFor[Host]():          {"id", "address", "zone", "rack", "capacity"},
	reflect.TypeFor[upstream.Size](): {"slots"},
	reflect.TypeFor[Pool]():          {"name", "hosts", "budget"},
	reflect.TypeFor[Budget]():        {"max_unavailable"},
	reflect.TypeFor[Queue]():         {"name", "pool"},
	reflect.TypeFor[Team]():          {"name", "share_permille", "cap_slots"},
	reflect.TypeFor[Key]():           {"id", "sha256"},
	reflect.TypeFor[Intervention]():  {"id", "kind", "target", "author", "reason", "until"},
}

// decoder copies a syntax tree into a bundle. Unlike encoding/json, it continues after an error, tracks line numbers,
// and rejects unknown and duplicate fields, null, and numbers that are not integers.
type decoder struct {
	*reporter
	newlines []int
	// failedPaths holds the paths that failed to decode, so that validation does not report them again.
	failedPaths map[string]bool
}

// fail reports a problem and records that path failed to decode.
func (d *decoder) fail(code result.Code, line int, path, format string, args ...any) {
	d.failedPaths[path] = true
	d.addLine(code, line, path, format, args...)
}

func (d *decoder) line(value hujson.Value) int {
	return lineAt(d.newlines, value.StartOffset)
}

// decode stores value in the field at path and records the line of path.
func (d *decoder) decode(value hujson.Value, into reflect.Value, path string) {
	d.lines[path] = d.line(value)
	switch into.Kind() {
	case reflect.Struct:
		d.decodeObject(value, into, path)
	case reflect.Slice:
		d.decodeList(value, into, path)
	default:
		d.decodeLiteral(value, into, path)
	}
}

func (d *decoder) decodeObject(value hujson.Value, into reflect.Value, path string) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.failType(value, path, "an object")
		return
	}
	fields := fieldIndexes[into.Type()]
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := literalText(member.Name.Value.(hujson.Literal))
		index, known := fields[name]
		fieldPath := joinPath(path, name)
		if !known {
			fieldPath = joinPath(path, printableName(name))
		}
		folded := strings.ToLower(name)
		if seen[folded] {
			d.fail(result.BundleDuplicateField, d.line(member.Name), fieldPath, "names that differ only in case count as equal")
			continue
		}
		seen[folded] = true
		if !known {
			d.fail(result.BundleUnknownField, d.line(member.Name), fieldPath, "allowed: %s", strings.Join(fieldNames(into.Type()), ", "))
			continue
		}
		d.decode(member.Value, into.Field(index), fieldPath)
	}
	d.checkRequired(into, path, fields)
}

// checkRequired reports required fields that are missing or empty.
func (d *decoder) checkRequired(object reflect.Value, path string, fields map[string]int) {
	for _, name := range requiredFields[object.Type()] {
		fieldPath := joinPath(path, name)
		field := object.Field(fields[name])
		empty := field.Kind() == reflect.String && field.Len() == 0
		if d.failedPaths[fieldPath] || (d.present(fieldPath) && !empty) {
			continue
		}
		d.fail(result.BundleMissing, d.lineOf(fieldPath), fieldPath, "give a value")
	}
}

func (d *decoder) decodeList(value hujson.Value, into reflect.Value, path string) {
	list, ok := value.Value.(*hujson.Array)
	if !ok {
		d.failType(value, path, "a list")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(list.Elements), len(list.Elements)))
	for i, element := range list.Elements {
		d.decode(element, into.Index(i), path+"["+strconv.Itoa(i)+"]")
	}
}

// literalText returns the value of a string literal. Most literals have no escape sequences, so they do not need the
// JSON decoder.
func literalText(literal hujson.Literal) string {
	if bytes.IndexByte(literal, '\\') < 0 {
		return string(literal[1 : len(literal)-1])
	}
	return literal.String()
}

func (d *decoder) decodeLiteral(value hujson.Value, into reflect.Value, path string) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok {
		d.failType(value, path, kindName(into.Kind()))
		return
	}
	switch kind := literal.Kind(); {
	case into.Kind() == reflect.String && kind == '"':
		into.SetString(literalText(literal))
	case into.Kind() == reflect.Bool && (kind == 't' || kind == 'f'):
		into.SetBool(literal.Bool())
	case into.CanInt() && kind == '0':
		number, err := strconv.ParseInt(string(literal), 10, 64)
		d.setNumber(value, path, err, func() { into.SetInt(number) })
	case into.CanUint() && kind == '0':
		number, err := strconv.ParseUint(string(literal), 10, 64)
		d.setNumber(value, path, err, func() { into.SetUint(number) })
	default:
		d.failType(value, path, kindName(into.Kind()))
	}
}

// setNumber calls set if the number was parsed without an error and reports a problem otherwise.
func (d *decoder) setNumber(value hujson.Value, path string, err error, set func()) {
	if err != nil {
		d.failType(value, path, "an integer in range")
		return
	}
	set()
}

// failType reports a value of the wrong type.
func (d *decoder) failType(value hujson.Value, path, want string) {
	got := "a list"
	switch trimmed := value.Value.(type) {
	case *hujson.Object:
		got = "an object"
	case hujson.Literal:
		got = quote(string(trimmed))
	}
	d.fail(result.BundleBadValue, d.line(value), path, "got %s, want %s", got, want)
}

func kindName(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	}
	return "an integer"
}

// fieldIndexes maps the JSON names of the fields to their indexes, for every struct type of the schema.
var fieldIndexes = indexFields(reflect.TypeFor[Bundle](), map[reflect.Type]map[string]int{})

// indexFields adds t and all struct types that it contains to indexes.
func indexFields(t reflect.Type, indexes map[reflect.Type]map[string]int) map[reflect.Type]map[string]int {
	if t.Kind() == reflect.Slice {
		return indexFields(t.Elem(), indexes)
	}
	if t.Kind() != reflect.Struct {
		return indexes
	}
	indexes[t] = map[string]int{}
	for i, name := range fieldNames(t) {
		indexes[t][name] = i
		indexFields(t.Field(i).Type, indexes)
	}
	return indexes
}

// fieldNames returns the JSON names of all fields in the order of the struct.
func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i], _, _ = strings.Cut(t.Field(i).Tag.Get("json"), ",")
	}
	return names
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// printableName returns the name of an unknown field, quoted if it is not a valid name, since it could contain control
// characters.
func printableName(name string) string {
	if namePattern.MatchString(name) {
		return name
	}
	return quote(name)
}
