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
	sourceRoot   = "../../.."
	capacityPage = sourceRoot + "/docs/CAPACITY.md"

	// demandBudget is the traffic budget for demand reports in bytes a second,
	// which the page also lists in a row of its own.
	demandBudget = 2000
)

// sourceFiles maps the short file names that the page uses for unexported
// constants to their paths.
var sourceFiles = map[string]string{
	"spread.go":        "coordination/spread/spread.go",
	"config.go":        "coordination/membership/config.go",
	"record/config.go": "coordination/record/config.go",
	"exchange.go":      "router/internal/schedule/exchange.go",
	"options.go":       "router/internal/schedule/options.go",
	"watch.go":         "router/internal/vm/watch.go",
	"file.go":          "router/internal/settings/file.go",
}

// sourceConstants are the constants that the page lists by their line of source
// code.
var sourceConstants = []string{
	"spread.go: c.ReadsPerSecond = orDefault(c.ReadsPerSecond,",
	"spread.go: c.MinPollInterval = orDefault(c.MinPollInterval,",
	"spread.go: c.Fanout = orDefault(c.Fanout,",
	"config.go: fallback(&c.ProbeInterval,",
	"record/config.go: c.MinWriteInterval = cmp.Or(c.MinWriteInterval,",
	"record/config.go: c.MaxHeldBytes = cmp.Or(c.MaxHeldBytes,",
	"record/config.go: c.MaxRecentBytes = cmp.Or(c.MaxRecentBytes,",
	"exchange.go: const demandBytesPerSecond =",
	"options.go: defaultMaxBytes =",
	"file.go: Room:",
	"watch.go: maxBytesPerSecond =",
}

// exportedValues returns the values of constants and functions by the names
// that the page gives them.
func exportedValues() map[string]string {
	four, thirty := demandReport(4), demandReport(30)
	single := teamMessage()
	period := share.Period(18, thirty.Size(), demandBudget)
	values := map[string]any{
		"health.ProbesPerSecond":                  health.ProbesPerSecond,
		"health.MinProbeInterval":                 health.MinProbeInterval,
		"limit.ReportInterval":                    limit.ReportInterval,
		"limit.StalePeriods":                      limit.StalePeriods,
		"share.StalePeriods":                      share.StalePeriods,
		"share.Levels":                            int(share.Levels),
		"schedule.PrefixLimit":                    schedule.PrefixLimit,
		"class.Tiers":                             int(class.Tiers),
		"membership.UpdateBytes":                  membership.UpdateBytes,
		"membership.SyncBytes":                    membership.SyncBytes,
		"membership.ExtraBytes":                   membership.ExtraBytes,
		"DemandReport.Size of 4 pools":            four.Size(),
		"DemandReport.Size of 30 pools":           thirty.Size(),
		"Message.Size of 1 team":                  single.Size(),
		"datagram of 4 pools":                     demandDatagramBytes(four),
		"datagram of 30 pools":                    demandDatagramBytes(thirty),
		"datagram of 1 team":                      limitDatagramBytes(),
		"share.Period of 17 peers, 30 pools":      period.Round(time.Millisecond),
		"share.Cells of 400 routers, 400 servers": share.Cells(400, 400),
	}
	texts := make(map[string]string, len(values))
	for name, value := range values {
		texts[name] = fmt.Sprint(value)
	}
	return texts
}

// demandDatagramBytes returns the size of the datagram of a demand report.
func demandDatagramBytes(report share.DemandReport) uint64 {
	e := newExchange()
	e.SendDemand("router-1", report)
	return e.Statistics().SentBytes
}

// teamMessage returns a limit message about one team.
func teamMessage() limit.Message {
	return limit.Message{From: "router-0", To: "router-1", Teams: []limit.TeamDemand{
		{Team: "team-0000", Demand: limit.Demand{Requests: 1.5, Tokens: 310, Running: 2}},
	}}
}

// limitDatagramBytes returns the size of the datagram of a limit message about
// one team.
func limitDatagramBytes() uint64 {
	e := newExchange()
	e.SendLimits(teamMessage())
	return e.Statistics().SentBytes
}

// pageConstants returns the table of constants on the page.
func pageConstants(g *gomega.WithT) map[string]string {
	text, err := os.ReadFile(capacityPage)
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

func TestCapacityPageListsCurrentConstants(t *testing.T) {
	g := gomega.NewWithT(t)
	constants := pageConstants(g)
	for name, value := range exportedValues() {
		g.Expect(constants).To(gomega.HaveKeyWithValue(name, value))
	}
	for _, name := range sourceConstants {
		g.Expect(constants).To(gomega.HaveKey(name))
	}
	g.Expect(constants).To(gomega.HaveLen(len(exportedValues())+len(sourceConstants)), "page has rows that no test checks")
}

func TestCapacityPageMatchesSourceDefaults(t *testing.T) {
	g := gomega.NewWithT(t)
	constants := pageConstants(g)
	for _, name := range sourceConstants {
		file, code, _ := strings.Cut(name, ": ")
		source, err := os.ReadFile(filepath.Join(sourceRoot, sourceFiles[file]))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		want := regexp.MustCompile(codePattern(code) + `\s*` + regexp.QuoteMeta(constants[name]) + `[,)]?\n`)
		g.Expect(want.FindAllString(string(source), -1)).To(gomega.HaveLen(1), name)
	}
}

// codePattern returns a regular expression that matches code regardless of its
// alignment.
func codePattern(code string) string {
	words := strings.Fields(code)
	for i := range words {
		words[i] = regexp.QuoteMeta(words[i])
	}
	return strings.Join(words, `\s+`)
}

// TestCapacityPageCommandsNameExistingBenchmarks checks that each benchmark in
// a command on the page exists in the package that the command names.
func TestCapacityPageCommandsNameExistingBenchmarks(t *testing.T) {
	g := gomega.NewWithT(t)
	text, err := os.ReadFile(capacityPage)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	commands := regexp.MustCompile(`go test (\./\S+) -run '\^\$' -bench\s+([A-Za-z]+)`).FindAllStringSubmatch(string(text), -1)
	g.Expect(len(commands)).To(gomega.BeNumerically(">=", 8))
	for _, command := range commands {
		files, err := filepath.Glob(filepath.Join(sourceRoot, command[1], "*_test.go"))
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
