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

// required lists the fields that a text must have. A required string must not be empty.
var required = map[reflect.Type][]string{
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

// decoder copies a syntax tree into a bundle. Unlike encoding/json it continues after an error, knows lines, and
// refuses unknown and repeated fields, null and numbers that are not integers.
type decoder struct {
	*reporter
	newlines []int
	// broken holds the paths that have a problem, so that validation does not report them again.
	broken map[string]bool
}

func (d *decoder) fail(code result.Code, line int, path, format string, args ...any) {
	d.broken[path] = true
	d.addLine(code, line, path, format, args...)
}

func (d *decoder) line(value hujson.Value) int {
	return lineAt(d.newlines, value.StartOffset)
}

// decode copies value into the field at path.
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
		d.wrongType(value, path, "an object")
		return
	}
	fields := fieldIndexes[into.Type()]
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := literalText(member.Name.Value.(hujson.Literal))
		index, known := fields[name]
		fieldPath := joinPath(path, name)
		if !known {
			fieldPath = joinPath(path, printable(name))
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
	for _, name := range required[object.Type()] {
		fieldPath := joinPath(path, name)
		field := object.Field(fields[name])
		empty := field.Kind() == reflect.String && field.Len() == 0
		if d.broken[fieldPath] || (d.present(fieldPath) && !empty) {
			continue
		}
		d.fail(result.BundleMissing, d.lineOf(fieldPath), fieldPath, "give a value")
	}
}

func (d *decoder) decodeList(value hujson.Value, into reflect.Value, path string) {
	list, ok := value.Value.(*hujson.Array)
	if !ok {
		d.wrongType(value, path, "a list")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(list.Elements), len(list.Elements)))
	for i, element := range list.Elements {
		d.decode(element, into.Index(i), path+"["+strconv.Itoa(i)+"]")
	}
}

// literalText returns the text of a string literal. Most have no escapes and need no JSON decoder.
func literalText(literal hujson.Literal) string {
	if bytes.IndexByte(literal, '\\') < 0 {
		return string(literal[1 : len(literal)-1])
	}
	return literal.String()
}

func (d *decoder) decodeLiteral(value hujson.Value, into reflect.Value, path string) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok {
		d.wrongType(value, path, kindName(into.Kind()))
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
		d.wrongType(value, path, kindName(into.Kind()))
	}
}

func (d *decoder) setNumber(value hujson.Value, path string, err error, set func()) {
	if err != nil {
		d.wrongType(value, path, "an integer in range")
		return
	}
	set()
}

func (d *decoder) wrongType(value hujson.Value, path, want string) {
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

// fieldIndexes holds the index of each field by its JSON name, for every type of the schema.
var fieldIndexes = indexFields(reflect.TypeFor[Bundle](), map[reflect.Type]map[string]int{})

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

// fieldNames returns the JSON names of all fields in their order.
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

// printable returns an unknown field's name in a form that can be printed.
func printable(name string) string {
	if namePattern.MatchString(name) {
		return name
	}
	return quote(name)
}
