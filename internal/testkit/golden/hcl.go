package golden

import (
	"fmt"
	"reflect"
	"strings"
)

// HCLKeys lists the blocks and attributes that gohcl reads into a struct, a line each, blocks indented by their depth.
// It panics where a struct has a tag that gohcl does not know.
func HCLKeys(form any) []byte {
	var list strings.Builder
	writeHCLKeys(&list, "", reflect.TypeOf(form))
	return []byte(list.String())
}

func writeHCLKeys(list *strings.Builder, indent string, form reflect.Type) {
	for i := range form.NumField() {
		field := form.Field(i)
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
			panic("hcl tag " + field.Tag.Get("hcl") + " is not known here")
		}
	}
}

// blockType returns the struct of a block's field, and how often the block may stand.
func blockType(field reflect.Type) (block reflect.Type, many string) {
	switch field.Kind() {
	case reflect.Slice:
		return field.Elem(), "any number"
	case reflect.Pointer:
		return field.Elem(), "at most once"
	}
	return field, "once"
}
