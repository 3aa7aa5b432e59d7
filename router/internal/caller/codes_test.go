package caller_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/caller"
)

// codeRowPattern matches a row of the table of codes.
var codeRowPattern = regexp.MustCompile("(?m)^\\| `([a-z]+)` \\|")

// declaredCodes returns the values of the constants of type Code.
func declaredCodes(g *gomega.WithT) []caller.Code {
	file, err := parser.ParseFile(token.NewFileSet(), "refusal.go", nil, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var codes []caller.Code
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if kind, ok := spec.Type.(*ast.Ident); !ok || kind.Name != "Code" {
			return true
		}
		for _, value := range spec.Values {
			text, err := strconv.Unquote(value.(*ast.BasicLit).Value)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			codes = append(codes, caller.Code(text))
		}
		return true
	})
	return codes
}

func TestCodesPageListsEveryCodeOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	page, err := os.ReadFile("../../../docs/operators/codes.md")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, section, found := strings.Cut(string(page), "\n## Codes\n")
	g.Expect(found).To(gomega.BeTrue())
	section, _, _ = strings.Cut(section, "\n## ")
	var named []caller.Code
	for _, row := range codeRowPattern.FindAllStringSubmatch(section, -1) {
		named = append(named, caller.Code(row[1]))
	}
	g.Expect(caller.Codes()).NotTo(gomega.BeEmpty())
	g.Expect(named).To(gomega.ConsistOf(caller.Codes()))
}

func TestCodesReturnsEveryDeclaredCode(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(caller.Codes()).To(gomega.Equal(declaredCodes(g)))
}
