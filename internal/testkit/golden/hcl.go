package golden

import (
	"fmt"
	"reflect"
	"strings"
)

// HCLKeys lists the blocks and attributes that gohcl decodes into a struct, one per line and indented by the nesting of
// the blocks. It panics if a struct has an hcl tag of a kind that it does not support.
func HCLKeys(value any) []byte {
	var list strings.Builder
	writeHCLKeys(&list, "", reflect.TypeOf(value))
	return []byte(list.String())
}

func writeHCLKeys(list *strings.Builder, indent string, structType reflect.Type) {
	for i := range structType.NumField() {
		field := structType.Field(i)
		name, kind, tagged := strings.Cut(field.Tag.Get("hcl"), ",")
		switch {
		case field.Tag.Get("hcl") == "" || kind == "def_range":
		case kind == "block":
			block, many := blockType(field.Type)
			fmt.Fprintf(list, "%sblock %s, %s\n", indent, name, many)
			writeHCLKeys(list, indent+"  ", block)
		case kind == "label":
			fmt.Fprintf(list, "%slabel %s\n", indent, name)
		case kind == "remain":
			fmt.Fprintf(list, "%sremain\n", indent)
		case kind == "optional":
			fmt.Fprintf(list, "%s%s %s, optional\n", indent, name, field.Type)
		case !tagged || kind == "attr":
			fmt.Fprintf(list, "%s%s %s\n", indent, name, field.Type)
		default:
			panic("hcl tag " + field.Tag.Get("hcl") + " is not supported")
		}
	}
}

// blockType returns the struct type of a block's field, and how often the block may occur.
func blockType(field reflect.Type) (block reflect.Type, many string) {
	switch field.Kind() {
	case reflect.Slice:
		return field.Elem(), "any number"
	case reflect.Pointer:
		return field.Elem(), "at most once"
	}
	return field, "once"
}
