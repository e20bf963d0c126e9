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
const root = "../../.."

// sources are the folders of the programs that operators run.
var sources = []string{"core/pkg", "platform", "balancer", "sidecar"}

// call is a call of a method with a text as its first argument.
type call struct {
	method, text, place string
	// isBegin says that the text is only the begin of the argument.
	isBegin bool
}

// calls returns the calls in all source files that are no tests and no stand-ins.
func calls(t *testing.T) []call {
	t.Helper()
	var list []call
	for _, folder := range sources {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, d fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if d.IsDir() && d.Name() == "standin" {
				return filepath.SkipDir
			}
			if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return nil
			}
			found, err := callsIn(path)
			list = append(list, found...)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return list
}

func callsIn(path string) ([]call, error) {
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, path, nil, 0)
	if err != nil {
		return nil, err
	}
	var list []call
	ast.Inspect(file, func(n ast.Node) bool {
		c, isCall := n.(*ast.CallExpr)
		if !isCall || len(c.Args) == 0 {
			return true
		}
		selector, isMethod := c.Fun.(*ast.SelectorExpr)
		text, isText := firstText(c.Args[0])
		if isMethod && isText {
			_, isSum := c.Args[0].(*ast.BinaryExpr)
			list = append(list, call{selector.Sel.Name, text, set.Position(c.Pos()).String(), isSum})
		}
		return true
	})
	return list, nil
}

// firstText returns a text, or the text with which a sum of texts begins.
func firstText(e ast.Expr) (string, bool) {
	switch e := e.(type) {
	case *ast.BasicLit:
		text, err := strconv.Unquote(e.Value)
		return text, err == nil && e.Kind == token.STRING
	case *ast.BinaryExpr:
		return firstText(e.X)
	}
	return "", false
}

func page(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(root, "docs", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func TestEveryEventIsOnThePageOfLogs(t *testing.T) {
	is := is.New(t)
	logs := page(t, "LOGS.md")
	seen := 0
	for _, c := range calls(t) {
		if c.method != "Info" && c.method != "Error" {
			continue
		}
		seen++
		name := "`" + c.text
		if !c.isBegin {
			name += "`"
		}
		if !strings.Contains(logs, name) {
			t.Errorf("%s: event %q is not in LOGS.md", c.place, c.text)
		}
	}
	is.True(seen > 50)
}

func TestEveryMetricIsOnThePageOfCounters(t *testing.T) {
	is := is.New(t)
	counters := page(t, "COUNTERS.md")
	seen := 0
	for _, c := range calls(t) {
		if c.method != "Counter" && c.method != "RegisterGauge" && c.method != "DurationHistogram" {
			continue
		}
		seen++
		base, reason, hasReason := strings.Cut(c.text, ".")
		isNamed := strings.Contains(counters, "`"+base+"`") || strings.Contains(counters, "`"+base+"_") || strings.Contains(counters, "`"+base+"{")
		if reason != "" {
			isNamed = isNamed && (strings.Contains(counters, `"`+reason+`"`) || strings.Contains(counters, "`"+reason+"`"))
		}
		if !isNamed {
			t.Errorf("%s: metric %q (with a reason: %t) is not in COUNTERS.md", c.place, c.text, hasReason)
		}
	}
	is.True(seen > 20)
}
