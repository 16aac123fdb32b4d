package swsetting_test

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swsetting"
)

var update = flag.Bool("update", false, "write the settings reference")

const referenceHead = `# Settings reference

The settings file is YAML. Durations are written with a unit, as in 250ms or 2s; addresses as an IP address and a port.
An unknown field is an error. Check a file with ` + "`sycamorewall settings check FILE`" + `.

| field | type | default | meaning |
| --- | --- | --- | --- |
`

// TestReferencePageListsEveryField compares docs/settings.md with the fields of Settings, their defaults and doc comments.
func TestReferencePageListsEveryField(t *testing.T) {
	page := filepath.Join("..", "..", "docs", "settings.md")
	want := referenceHead + strings.Join(rows(t, comments(t), reflect.ValueOf(swsetting.Defaults()), ""), "")
	if *update {
		if err := os.WriteFile(page, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, string(got)); diff != "" {
		t.Errorf("docs/settings.md differs; run go test ./internal/swsetting -update\n%s", diff)
	}
}

func rows(t *testing.T, comments map[string]string, value reflect.Value, path string) []string {
	var lines []string
	for i := range value.NumField() {
		field := value.Type().Field(i)
		name := path + field.Name
		if field.Type.Kind() == reflect.Struct && field.Type != reflect.TypeFor[netip.AddrPort]() {
			lines = append(lines, rows(t, comments, value.Field(i), name+".")...)
			continue
		}
		comment := comments[value.Type().Name()+"."+field.Name]
		if comment == "" {
			t.Errorf("field %s has no doc comment", name)
		}
		lines = append(lines, fmt.Sprintf("| `%s` | %s | %s | %s |\n", name, typeName(field.Type), defaultText(value.Field(i)), comment))
	}
	return lines
}

func typeName(fieldType reflect.Type) string {
	switch fieldType {
	case reflect.TypeFor[time.Duration]():
		return "duration"
	case reflect.TypeFor[netip.AddrPort]():
		return "address"
	default:
		return fieldType.String()
	}
}

func defaultText(value reflect.Value) string {
	if value.IsZero() && value.Kind() != reflect.Bool {
		return ""
	}
	return fmt.Sprintf("%v", value.Interface())
}

// comments returns the doc comment of each field by Type.Field.
func comments(t *testing.T) map[string]string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "setting.go", nil, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	found := make(map[string]string)
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.TypeSpec)
		if !ok {
			return true
		}
		if structure, ok := spec.Type.(*ast.StructType); ok {
			for _, field := range structure.Fields.List {
				for _, name := range field.Names {
					found[spec.Name.Name+"."+name.Name] = strings.Join(strings.Fields(field.Doc.Text()), " ")
				}
			}
		}
		return true
	})
	return found
}
