package bundle

import (
	"fmt"
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
	fields := fieldIndexes(into.Type())
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		fieldPath := joinPath(path, printable(name))
		if folded := strings.ToLower(name); seen[folded] {
			d.fail(result.BundleDuplicateField, d.line(member.Name), fieldPath, "names that differ only in case count as equal")
			continue
		} else {
			seen[folded] = true
		}
		index, ok := fields[name]
		if !ok {
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
		d.decode(element, into.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *decoder) decodeLiteral(value hujson.Value, into reflect.Value, path string) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok {
		d.wrongType(value, path, kindName(into.Kind()))
		return
	}
	switch kind := literal.Kind(); {
	case into.Kind() == reflect.String && kind == '"':
		into.SetString(literal.String())
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

// fieldIndexes returns the index of each field by its JSON name.
func fieldIndexes(t reflect.Type) map[string]int {
	indexes := map[string]int{}
	for i, name := range fieldNames(t) {
		indexes[name] = i
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
