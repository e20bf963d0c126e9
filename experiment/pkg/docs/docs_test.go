// Package docs checks that the pages for operators list every log event and every metric of the programs.
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

// repositoryRoot is the path of the repository from the folder of this package.
const repositoryRoot = "../../.."

// sourceFolders contain the source code of the programs that operators run.
var sourceFolders = []string{"core/pkg", "platform", "balancer", "sidecar"}

// methodCall is a method call in the source code whose first argument is a string literal or begins with one.
type methodCall struct {
	method, argument, position string
	// isPrefix is set when the first argument of the call is a concatenation, of which argument is only the beginning.
	isPrefix bool
}

// methodCalls returns the method calls in all source files, except for tests and stand-ins.
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

// methodCallsInFile returns the method calls in one source file.
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

// leadingText returns the value of a string literal, or of the literal with which a concatenation begins. It returns false
// for any other expression.
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

// readPage returns the content of a page in the folder docs.
func readPage(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(repositoryRoot, "docs", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// Every event that the programs log must be listed in LOGS.md.
func TestLogsPageListsEveryEvent(t *testing.T) {
	is := is.New(t)
	logsPage := readPage(t, "LOGS.md")
	eventCount := 0
	for _, c := range methodCalls(t) {
		if c.method != "Info" && c.method != "Error" {
			continue
		}
		eventCount++
		name := "`" + c.argument
		if !c.isPrefix {
			name += "`"
		}
		if !strings.Contains(logsPage, name) {
			t.Errorf("%s: event %q is not in LOGS.md", c.position, c.argument)
		}
	}
	is.True(eventCount > 50)
}

// Every metric that the programs register must be listed in COUNTERS.md. The part of a name after the first dot is the
// reason with which the metric is labeled.
func TestCountersPageListsEveryMetric(t *testing.T) {
	is := is.New(t)
	countersPage := readPage(t, "COUNTERS.md")
	metricCount := 0
	for _, c := range methodCalls(t) {
		if c.method != "Counter" && c.method != "RegisterGauge" && c.method != "DurationHistogram" {
			continue
		}
		metricCount++
		base, reason, hasReason := strings.Cut(c.argument, ".")
		isListed := strings.Contains(countersPage, "`"+base+"`") || strings.Contains(countersPage, "`"+base+"_") || strings.Contains(countersPage, "`"+base+"{")
		if reason != "" {
			isListed = isListed && (strings.Contains(countersPage, `"`+reason+`"`) || strings.Contains(countersPage, "`"+reason+"`"))
		}
		if !isListed {
			t.Errorf("%s: metric %q (with a reason: %t) is not in COUNTERS.md", c.position, c.argument, hasReason)
		}
	}
	is.True(metricCount > 20)
}
