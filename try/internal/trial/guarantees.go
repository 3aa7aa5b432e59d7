package trial

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"snipetally.example/coordination/pause"
	"snipetally.example/try/internal/report"
	"snipetally.example/try/internal/site"
	"snipetally.example/try/internal/traffic"
)

// checkGuarantees checks the guarantees at the end of a trial.
func checkGuarantees(ctx context.Context, s *site.Site, results []traffic.Result, changes *changeResult) []report.Guarantee {
	return []report.Guarantee{
		checkResponses(results),
		checkAtMostOnce(s, results),
		checkRefusals(s, results),
		checkProtectedClasses(results),
		checkAllClassesServed(results),
		checkPreset(ctx, s, changes),
		checkRetirement(s, changes),
		checkPlacement(ctx, s),
	}
}

// checkResponses checks that each complete response matches its request.
func checkResponses(results []traffic.Result) report.Guarantee {
	wrong, completed := 0, 0
	for i := range results {
		if results[i].Mismatched {
			wrong++
		}
		if results[i].Completed {
			completed++
		}
	}
	return report.Guarantee{
		Description: "each complete response belongs to its own request",
		Held:        wrong == 0 && completed > 0,
		Detail:      fmt.Sprintf("%d wrong of %d", wrong, completed+wrong),
	}
}

// atMostOnce reports whether the calls of a stream run at most once.
func atMostOnce(stream traffic.Stream) bool {
	return stream.Class == "grant" || stream.Class == "booking"
}

// checkAtMostOnce checks that no at-most-once call ran more than once.
func checkAtMostOnce(s *site.Site, results []traffic.Result) report.Guarantee {
	repeated, checked := 0, 0
	for i := range results {
		result := &results[i]
		if !atMostOnce(result.Stream) {
			continue
		}
		checked++
		if countRuns(s, result) > 1 {
			repeated++
		}
	}
	return report.Guarantee{
		Description: "each grant and booking ran at most once",
		Held:        repeated == 0 && checked > 0,
		Detail:      fmt.Sprintf("%d of %d ran more than once", repeated, checked),
	}
}

// checkRefusals checks that each service call refused with run: no did not run.
func checkRefusals(s *site.Site, results []traffic.Result) report.Guarantee {
	ranAnyway, refused := 0, 0
	for i := range results {
		result := &results[i]
		if result.RunState != "no" || result.Stream.Service == "" {
			continue
		}
		refused++
		if countRuns(s, result) > 0 {
			ranAnyway++
		}
	}
	return report.Guarantee{
		Description: "each call refused with run: no did not run",
		Held:        ranAnyway == 0,
		Detail:      fmt.Sprintf("%d of %d had run", ranAnyway, refused),
	}
}

// countRuns returns how often the service ran the call with the result's request
// ID.
func countRuns(s *site.Site, result *traffic.Result) int {
	total := 0
	for _, service := range s.Services {
		if service.Name == result.Stream.Service {
			_, byKey := service.CountRuns("", result.RequestID)
			total += byKey
		}
	}
	return total
}

// checkProtectedClasses checks that no service call was refused for overload or
// expired in the queue.
func checkProtectedClasses(results []traffic.Result) report.Guarantee {
	shed, sent := 0, 0
	for i := range results {
		if results[i].Stream.Service == "" {
			continue
		}
		sent++
		if results[i].ErrorCode == "overload" || results[i].ErrorCode == "expired" {
			shed++
		}
	}
	return report.Guarantee{
		Description: "no grant, booking or lookup was shed",
		Held:        shed == 0 && sent > 0,
		Detail:      fmt.Sprintf("%d shed of %d", shed, sent),
	}
}

// checkAllClassesServed checks that each class had at least one completed request.
func checkAllClassesServed(results []traffic.Result) report.Guarantee {
	served := make(map[string]bool)
	for i := range results {
		class := results[i].Stream.Class
		served[class] = served[class] || results[i].Completed
	}
	var starved []string
	for class, ok := range served {
		if !ok {
			starved = append(starved, class)
		}
	}
	return report.Guarantee{
		Description: "every class was served",
		Held:        len(starved) == 0,
		Detail:      strings.TrimSpace(fmt.Sprintf("%d classes %s", len(served), strings.Join(starved, ", "))),
	}
}

// checkPreset checks that the preset switch was in force in time and that every
// router still reports that preset.
func checkPreset(ctx context.Context, s *site.Site, changes *changeResult) report.Guarantee {
	g := report.Guarantee{
		Description: fmt.Sprintf("the preset was in force everywhere within %v and stayed", maxChangeDelay),
		Held:        changes.switchDelay <= maxChangeDelay,
		Detail:      fmt.Sprintf("after %v", changes.switchDelay.Round(time.Millisecond)),
	}
	for i, router := range s.Routers {
		status, err := s.RunCommand(ctx, i, "status")
		if err != nil || !strings.Contains(status, presetStatusLine) {
			g.Held = false
			g.Detail = fmt.Sprintf("%s reports: %s", router.Name(), status)
		}
	}
	return g
}

// presetStatusLine is the line of the status output that names the preset.
const presetStatusLine = `"value": "` + targetPreset + `"`

// checkRetirement checks that the retirement was in force in time and that the
// retired backend server received no requests after changes.retiredRequests was
// counted.
func checkRetirement(s *site.Site, changes *changeResult) report.Guarantee {
	later := countRetiredRequests(s) - changes.retiredRequests
	return report.Guarantee{
		Description: fmt.Sprintf("a retired backend server got no new requests after %v", maxChangeDelay),
		Held:        later == 0 && changes.retireDelay <= maxChangeDelay,
		Detail:      fmt.Sprintf("in force after %v, %d requests afterwards", changes.retireDelay.Round(time.Millisecond), later),
	}
}

// checkPlacement waits until placementEngine serves placementModel.
func checkPlacement(ctx context.Context, s *site.Site) report.Guarantee {
	ctx, cancel := context.WithTimeout(ctx, placementTimeout)
	defer cancel()
	g := report.Guarantee{Description: "an engine serves the models that the preset assigns to it"}
	for {
		models := s.ServedModels(placementEngine)
		g.Detail = fmt.Sprintf("%s serves %s", placementEngine, strings.Join(models, ", "))
		g.Held = slices.Contains(models, placementModel)
		if g.Held || !pause.For(ctx, pollInterval) {
			return g
		}
	}
}
