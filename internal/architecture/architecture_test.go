// Package architecture checks that the source tree conforms to docs/ARCHITECTURE.md: packages import only their own
// layer and lower ones, pure packages use no clock, I/O or random numbers, and each path and identifier that the page
// names exists.
package architecture

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	moduleRoot   = "../.."
	pagePath     = "docs/ARCHITECTURE.md"
	modulePrefix = "irispost/"
)

// layers lists the layers from the lowest up, with the paths of their packages. A path includes the packages below it
// that are not listed themselves. A package imports only packages of its own layer or of lower layers.
var layers = []struct {
	name     string
	packages []string
}{
	{"decisions and protocols", []string{
		"scheduler", "internal/endpoint", "internal/endpoint/membership", "internal/fleet/configversion", "internal/fleet/lease",
		"internal/fleet/delta", "internal/fleet/content", "internal/fleet/slowstart/budget", "internal/fleet/slowstart/epoch",
		"internal/http1", "internal/sftp", "internal/packetconn", "internal/scsi", "internal/iscsi", "internal/layout",
		"internal/loopback", "internal/snapshot", "internal/wire",
	}},
	{"state and connections", []string{
		"internal/gateway", "internal/backend", "internal/capture", "internal/fleet/replica", "internal/fleet/client",
		"internal/fleet/slowstart", "internal/endpoint/manager", "internal/endpoint/discovery", "internal/endpoint/filesource", "internal/endpoint/xds",
		"internal/platform", "internal/admin",
	}},
	{"front ends", []string{"internal/frontend", "internal/front", "internal/iscsi/target"}},
	{"assembly", []string{"internal/config", "internal/serve", "internal/adapter", "internal/replay"}},
	{"testbed and measurement", []string{
		"internal/audit", "internal/standin", "internal/webstandin", "internal/xdsstandin", "internal/testkit", "internal/relive",
		"internal/day", "internal/bench", "internal/scale", "internal/capacity", "internal/fleet/rig", "internal/architecture", "examples",
	}},
	{"commands", []string{"cmd"}},
}

// purePackages are the packages that use no clock, I/O or random numbers.
var purePackages = []string{
	"scheduler", "internal/endpoint/membership", "internal/fleet/configversion", "internal/fleet/lease", "internal/fleet/delta",
	"internal/fleet/content", "internal/fleet/slowstart/budget", "internal/fleet/slowstart/epoch",
}

// impureImports are the standard packages that a pure package must not import. A path includes the packages below it.
var impureImports = []string{"os", "net", "time", "math/rand", "crypto/rand", "syscall", "log", "sync", "context"}

// sourceFile is a Go file of the module that is not a test file.
type sourceFile struct {
	folder  string // relative to the module's root, with slashes
	imports []string
	syntax  *ast.File
}

// isAtOrBelow reports whether name is the path prefix or a path below it.
func isAtOrBelow(name, prefix string) bool {
	return name == prefix || strings.HasPrefix(name, prefix+"/")
}

// layerOf returns the index of a package's layer, which is that of the longest matching path. It returns -1 if no path
// matches.
func layerOf(folder string) int {
	layer, longest := -1, 0
	for i, candidate := range layers {
		for _, prefix := range candidate.packages {
			if isAtOrBelow(folder, prefix) && len(prefix) > longest {
				layer, longest = i, len(prefix)
			}
		}
	}
	return layer
}

// readSources parses the module's Go files, except tests and files in the folders that visit skips.
func readSources(t *testing.T) []sourceFile {
	t.Helper()
	var sources []sourceFile
	visit := func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		hidden := strings.HasPrefix(entry.Name(), ".") && name != moduleRoot
		if entry.IsDir() && (hidden || slices.Contains([]string{"testdata", "journal", "tools", "bin"}, entry.Name())) {
			return filepath.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		syntax, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		folder, err := filepath.Rel(moduleRoot, filepath.Dir(name))
		if err != nil {
			return err
		}
		source := sourceFile{folder: filepath.ToSlash(folder), syntax: syntax}
		for _, spec := range syntax.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			source.imports = append(source.imports, imported)
		}
		sources = append(sources, source)
		return nil
	}
	if err := filepath.WalkDir(moduleRoot, visit); err != nil {
		t.Fatal(err)
	}
	if len(sources) < 100 {
		t.Fatalf("found only %d source files below %s, want at least 100", len(sources), moduleRoot)
	}
	return sources
}

func TestImportsPointOneWay(t *testing.T) {
	for _, source := range readSources(t) {
		layer := layerOf(source.folder)
		if layer < 0 {
			t.Errorf("package %s is not listed in any layer", source.folder)
			continue
		}
		for _, imported := range source.imports {
			folder, inside := strings.CutPrefix(imported, modulePrefix)
			if inside && layerOf(folder) > layer {
				t.Errorf("%s (%s) imports %s (%s)", source.folder, layers[layer].name, folder, layers[layerOf(folder)].name)
			}
			if inside && source.folder == "scheduler" {
				t.Errorf("the scheduler imports %s, but must not import other packages of the module", folder)
			}
		}
	}
}

func TestPurePackagesImportNoClockInputOrChance(t *testing.T) {
	seen := map[string]bool{}
	for _, source := range readSources(t) {
		if !slices.Contains(purePackages, source.folder) {
			continue
		}
		seen[source.folder] = true
		for _, imported := range source.imports {
			if slices.ContainsFunc(impureImports, func(prefix string) bool { return isAtOrBelow(imported, prefix) }) {
				t.Errorf("the pure package %s imports %s", source.folder, imported)
			}
			folder, inside := strings.CutPrefix(imported, modulePrefix)
			if inside && !slices.Contains(purePackages, folder) && folder != "internal/endpoint" {
				t.Errorf("the pure package %s imports %s, which is not pure", source.folder, folder)
			}
		}
	}
	for _, name := range purePackages {
		if !seen[name] {
			t.Errorf("found no source files of the pure package %s", name)
		}
	}
}

// declaredNames returns the module's identifiers as `package.Name` and `package.Type.Member`.
func declaredNames(sources []sourceFile) map[string]bool {
	names := map[string]bool{}
	for _, source := range sources {
		prefix := path.Base(source.folder) + "."
		for _, declaration := range source.syntax.Decls {
			switch declaration := declaration.(type) {
			case *ast.FuncDecl:
				names[prefix+receiverPrefix(declaration)+declaration.Name.Name] = true
			case *ast.GenDecl:
				for _, spec := range declaration.Specs {
					addSpec(names, prefix, spec)
				}
			}
		}
	}
	return names
}

// receiverPrefix returns `Type.` for a method and the empty string for a function.
func receiverPrefix(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	expression := function.Recv.List[0].Type
	if pointer, ok := expression.(*ast.StarExpr); ok {
		expression = pointer.X
	}
	if generic, ok := expression.(*ast.IndexExpr); ok {
		expression = generic.X
	}
	if name, ok := expression.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}

// addSpec adds the names that a declaration declares, with the fields of structs and the methods of interfaces.
func addSpec(names map[string]bool, prefix string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			names[prefix+name.Name] = true
		}
	case *ast.TypeSpec:
		names[prefix+spec.Name.Name] = true
		var fields *ast.FieldList
		switch definition := spec.Type.(type) {
		case *ast.StructType:
			fields = definition.Fields
		case *ast.InterfaceType:
			fields = definition.Methods
		default:
			return
		}
		for _, field := range fields.List {
			for _, name := range field.Names {
				names[prefix+spec.Name.Name+"."+name.Name] = true
			}
		}
	}
}

var (
	codeSpanPattern       = regexp.MustCompile("`([^`\n]+)`")
	identifierPattern     = regexp.MustCompile(`^[a-z][a-z0-9]*(\.[A-Za-z]\w*){1,2}$`)
	repositoryPathPattern = regexp.MustCompile(`^(cmd|internal|scheduler|deploy|docs|examples|journal|tools)(/[\w.-]+)*/?$`)
	fileNamePattern       = regexp.MustCompile(`\.(go|md|toml|json|hcl|yml|txt|db)$`)
)

func TestArchitecturePageNamesWhatExists(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(moduleRoot, pagePath))
	if err != nil {
		t.Fatal(err)
	}
	names := declaredNames(readSources(t))
	checked := 0
	for _, match := range codeSpanPattern.FindAllStringSubmatch(string(text), -1) {
		quote := match[1]
		switch {
		case repositoryPathPattern.MatchString(quote):
			checked++
			if _, err := os.Stat(filepath.Join(moduleRoot, quote)); err != nil {
				t.Errorf("%s names the path %s, which does not exist", pagePath, quote)
			}
		case identifierPattern.MatchString(quote) && !fileNamePattern.MatchString(quote):
			checked++
			if !names[quote] {
				t.Errorf("%s names %s, which is not declared", pagePath, quote)
			}
		}
	}
	if checked < 50 {
		t.Errorf("%s names only %d paths and identifiers, want at least 50: the page or the patterns are wrong",
			pagePath, checked)
	}
}
