package settings

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex maps the path of each key of a TOML file, such as class[2].first, to
// its line.
type lineIndex map[string]int

// indexLines indexes the TOML text up to its first syntax error.
func indexLines(data []byte) lineIndex {
	index := lineIndex{}
	counts := make(map[string]int)
	parser := &unstable.Parser{}
	parser.Reset(data)
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		switch node.Kind {
		case unstable.Table:
			table = tablePath(node, counts)
			index.add(table, parser, node)
		case unstable.ArrayTable:
			path := tablePath(node, counts)
			table = fmt.Sprintf("%s[%d]", path, counts[path])
			counts[path]++
			index.add(table, parser, node)
		case unstable.KeyValue:
			index.add(join(table, keyPath(node)), parser, node)
		}
	}
	return index
}

// tablePath returns the path of a table header. Counts holds the number of elements
// so far of each array of tables. An array of tables before the last part of the
// header refers to its most recent element.
func tablePath(node *unstable.Node, counts map[string]int) string {
	path := ""
	for it := node.Key(); it.Next(); {
		if n := counts[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
		path = join(path, string(it.Node().Data))
	}
	return path
}

// keyPath returns the path that the key of a node names.
func keyPath(node *unstable.Node) string {
	path := ""
	for it := node.Key(); it.Next(); {
		path = join(path, string(it.Node().Data))
	}
	return path
}

// join appends a key to a path, which may be empty.
func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// add records the line of the first part of the node's key.
func (l lineIndex) add(path string, parser *unstable.Parser, node *unstable.Node) {
	it := node.Key()
	if !it.Next() {
		return
	}
	l[path] = parser.Shape(parser.Range(it.Node().Data)).Start.Line
}

// lineOf returns the line of the longest known prefix of path, or 1.
func (l lineIndex) lineOf(path string) int {
	for path != "" {
		if line, ok := l[path]; ok {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return 1
}
