package capacity_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/coordination/membership"
	"snipetally.example/router/internal/class"
	"snipetally.example/router/internal/health"
	"snipetally.example/router/internal/limit"
	"snipetally.example/router/internal/schedule"
	"snipetally.example/router/internal/share"
)

const (
	root = "../../.."
	page = root + "/docs/CAPACITY.md"

	// routerBudget is the traffic for notes in bytes a second, which the page
	// names in its own row as well.
	routerBudget = 2000
)

// sources are the files in which the page's unexported constants stand, by the
// name that the page gives them.
var sources = map[string]string{
	"spread.go":        "coordination/spread/spread.go",
	"config.go":        "coordination/membership/config.go",
	"record/config.go": "coordination/record/config.go",
	"exchange.go":      "router/internal/schedule/exchange.go",
	"options.go":       "router/internal/schedule/options.go",
	"watch.go":         "router/internal/vm/watch.go",
	"file.go":          "router/internal/settings/file.go",
}

// unexported are the constants that the page must name by their line of code.
var unexported = []string{
	"spread.go: c.Reads = orDefault(c.Reads,",
	"spread.go: c.Least = orDefault(c.Least,",
	"spread.go: c.Fanout = orDefault(c.Fanout,",
	"config.go: fallback(&c.Period,",
	"record/config.go: defaultTo(&c.Pace,",
	"record/config.go: defaultTo(&c.Held,",
	"record/config.go: defaultTo(&c.Recent,",
	"exchange.go: const shareBudget =",
	"options.go: defaultBytes =",
	"file.go: Room:",
	"watch.go: byteBudget =",
}

// exported returns the values of constants and constructors by the names that
// the page gives them.
func exported() map[string]string {
	four, thirty := note(4), note(30)
	single := usage()
	period := share.Period(18, thirty.Size(), routerBudget)
	values := map[string]any{
		"health.Budget":                           health.Budget,
		"health.LeastPause":                       health.LeastPause,
		"limit.Period":                            limit.Period,
		"limit.Stale":                             limit.Stale,
		"share.Stale":                             share.Stale,
		"share.Levels":                            int(share.Levels),
		"schedule.PrefixLimit":                    schedule.PrefixLimit,
		"class.Tiers":                             int(class.Tiers),
		"membership.UpdateBytes":                  membership.UpdateBytes,
		"membership.SyncBytes":                    membership.SyncBytes,
		"membership.ExtraBytes":                   membership.ExtraBytes,
		"Note.Bytes of 4 pools":                   four.Size(),
		"Note.Bytes of 30 pools":                  thirty.Size(),
		"Message.Bytes of 1 team":                 single.Size(),
		"datagram of 4 pools":                     sentNote(four),
		"datagram of 30 pools":                    sentNote(thirty),
		"datagram of 1 team":                      sentLimit(),
		"share.Period of 17 peers, 30 pools":      period.Round(time.Millisecond),
		"share.Cells of 400 routers, 400 servers": share.Cells(400, 400),
	}
	texts := make(map[string]string, len(values))
	for name, value := range values {
		texts[name] = fmt.Sprint(value)
	}
	return texts
}

// sentNote returns the bytes of a note's datagram.
func sentNote(n share.DemandReport) uint64 {
	e := newExchange()
	e.SendDemand("router-1", n)
	return e.Statistics().SentBytes
}

// usage returns a message about one team.
func usage() limit.Message {
	return limit.Message{From: "router-0", To: "router-1", Teams: []limit.TeamDemand{
		{Team: "team-0000", Demand: limit.Demand{Requests: 1.5, Tokens: 310, Running: 2}},
	}}
}

// sentLimit returns the bytes of a datagram about one team.
func sentLimit() uint64 {
	e := newExchange()
	e.SendLimit(usage())
	return e.Statistics().SentBytes
}

// rows returns the table of constants of the page.
func rows(g *gomega.WithT) map[string]string {
	text, err := os.ReadFile(page)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, table, found := strings.Cut(string(text), "\n## Constants\n")
	g.Expect(found).To(gomega.BeTrue())
	matches := regexp.MustCompile("(?m)^\\| `([^`]+)` \\| (.+) \\|$").FindAllStringSubmatch(table, -1)
	constants := make(map[string]string, len(matches))
	for _, row := range matches {
		constants[row[1]] = row[2]
	}
	return constants
}

func TestPageNamesTheConstantsInForce(t *testing.T) {
	g := gomega.NewWithT(t)
	constants := rows(g)
	for name, value := range exported() {
		g.Expect(constants).To(gomega.HaveKeyWithValue(name, value))
	}
	for _, name := range unexported {
		g.Expect(constants).To(gomega.HaveKey(name))
	}
	g.Expect(constants).To(gomega.HaveLen(len(exported())+len(unexported)), "rows that nothing checks")
}

func TestPageNamesTheDefaultsInTheSource(t *testing.T) {
	g := gomega.NewWithT(t)
	constants := rows(g)
	for _, name := range unexported {
		file, code, _ := strings.Cut(name, ": ")
		source, err := os.ReadFile(filepath.Join(root, sources[file]))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		want := regexp.MustCompile(pattern(code) + `\s*` + regexp.QuoteMeta(constants[name]) + `[,)]?\n`)
		g.Expect(want.FindAllString(string(source), -1)).To(gomega.HaveLen(1), name)
	}
}

// pattern matches a piece of code whatever its alignment.
func pattern(code string) string {
	words := strings.Fields(code)
	for i := range words {
		words[i] = regexp.QuoteMeta(words[i])
	}
	return strings.Join(words, `\s+`)
}

// TestCommandsOfThePageExist checks that each benchmark that the page names
// stands in the package that it names.
func TestCommandsOfThePageExist(t *testing.T) {
	g := gomega.NewWithT(t)
	text, err := os.ReadFile(page)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	commands := regexp.MustCompile(`go test (\./\S+) -run '\^\$' -bench\s+([A-Za-z]+)`).FindAllStringSubmatch(string(text), -1)
	g.Expect(len(commands)).To(gomega.BeNumerically(">=", 8))
	for _, command := range commands {
		files, err := filepath.Glob(filepath.Join(root, command[1], "*_test.go"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		found := false
		for _, file := range files {
			source, err := os.ReadFile(file)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			found = found || strings.Contains(string(source), "func Benchmark"+command[2])
		}
		g.Expect(found).To(gomega.BeTrue(), command[0])
	}
}
