// Package docs checks that the pages for operators name what the programs log and count.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// root is the root of the repository, as seen from this package.
const repositoryRoot = "../../.."

// sources are the folders of the programs that operators run.
var sourceFolders = []string{"core/pkg", "platform", "balancer", "sidecar"}

// call is a call of a method with a text as its first argument.
type methodCall struct {
	method, argument, position string
	// isBegin says that the text is only the begin of the argument.
	isPrefix bool
}

// calls returns the calls in all source files that are no tests and no stand-ins.
func methodCalls(t *testing.T) []methodCall {
	t.Helper()
	var list []methodCall
	for _, folder := range sourceFolders {
		err := filepath.WalkDir(filepath.Join(repositoryRoot, folder), func(path string, d fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if d.IsDir() && d.Name() == "standin" {
				return filepath.SkipDir
			}
			if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return nil
			}
			found, err := methodCallsInFile(path)
			list = append(list, found...)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return list
}

func methodCallsInFile(path string) ([]methodCall, error) {
	fileSet := token.NewFileSet()
	file, err := parser.ParseFile(fileSet, path, nil, 0)
	if err != nil {
		return nil, err
	}
	var list []methodCall
	ast.Inspect(file, func(n ast.Node) bool {
		c, isCall := n.(*ast.CallExpr)
		if !isCall || len(c.Args) == 0 {
			return true
		}
		selector, isMethod := c.Fun.(*ast.SelectorExpr)
		text, isText := leadingText(c.Args[0])
		if isMethod && isText {
			_, isConcatenation := c.Args[0].(*ast.BinaryExpr)
			list = append(list, methodCall{selector.Sel.Name, text, fileSet.Position(c.Pos()).String(), isConcatenation})
		}
		return true
	})
	return list, nil
}

// firstText returns a text, or the text with which a sum of texts begins.
func leadingText(e ast.Expr) (string, bool) {
	switch e := e.(type) {
	case *ast.BasicLit:
		text, err := strconv.Unquote(e.Value)
		return text, err == nil && e.Kind == token.STRING
	case *ast.BinaryExpr:
		return leadingText(e.X)
	}
	return "", false
}

func readPage(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(repositoryRoot, "docs", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func TestLogsPageListsEveryEvent(t *testing.T) {
	is := is.New(t)
	logs := readPage(t, "LOGS.md")
	seen := 0
	for _, c := range methodCalls(t) {
		if c.method != "Info" && c.method != "Error" {
			continue
		}
		seen++
		name := "`" + c.argument
		if !c.isPrefix {
			name += "`"
		}
		if !strings.Contains(logs, name) {
			t.Errorf("%s: event %q is not in LOGS.md", c.position, c.argument)
		}
	}
	is.True(seen > 50)
}

func TestCountersPageListsEveryMetric(t *testing.T) {
	is := is.New(t)
	counters := readPage(t, "COUNTERS.md")
	seen := 0
	for _, c := range methodCalls(t) {
		if c.method != "Counter" && c.method != "RegisterGauge" && c.method != "DurationHistogram" {
			continue
		}
		seen++
		base, reason, hasReason := strings.Cut(c.argument, ".")
		isListed := strings.Contains(counters, "`"+base+"`") || strings.Contains(counters, "`"+base+"_") || strings.Contains(counters, "`"+base+"{")
		if reason != "" {
			isListed = isListed && (strings.Contains(counters, `"`+reason+`"`) || strings.Contains(counters, "`"+reason+"`"))
		}
		if !isListed {
			t.Errorf("%s: metric %q (with a reason: %t) is not in COUNTERS.md", c.position, c.argument, hasReason)
		}
	}
	is.True(seen > 20)
}
