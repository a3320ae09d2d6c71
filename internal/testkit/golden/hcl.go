package golden

import (
	"fmt"
	"reflect"
	"strings"
)

// HCLKeys lists the blocks and attributes that gohcl reads into a struct, a line each, blocks indented by their depth.
func HCLKeys(form any) []byte {
	var b strings.Builder
	hclKeys(&b, "", reflect.TypeOf(form))
	return []byte(b.String())
}

func hclKeys(b *strings.Builder, indent string, form reflect.Type) {
	for i := range form.NumField() {
		field := form.Field(i)
		name, kind, tagged := strings.Cut(field.Tag.Get("hcl"), ",")
		switch {
		case field.Tag.Get("hcl") == "" || kind == "def_range":
		case kind == "block":
			block, many := field.Type, "once"
			switch block.Kind() {
			case reflect.Slice:
				block, many = block.Elem(), "any number"
			case reflect.Pointer:
				block, many = block.Elem(), "at most once"
			}
			fmt.Fprintf(b, "%sblock %s, %s\n", indent, name, many)
			hclKeys(b, indent+"  ", block)
		case kind == "label":
			fmt.Fprintf(b, "%slabel %s\n", indent, name)
		case kind == "remain":
			fmt.Fprintf(b, "%sremain\n", indent)
		case kind == "optional":
			fmt.Fprintf(b, "%s%s %s, optional\n", indent, name, field.Type)
		case !tagged || kind == "attr":
			fmt.Fprintf(b, "%s%s %s\n", indent, name, field.Type)
		default:
			panic("hcl tag " + field.Tag.Get("hcl") + " is not known here")
		}
	}
}
