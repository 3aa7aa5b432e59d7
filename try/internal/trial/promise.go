package trial

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"snipetally.example/try/internal/report"
	"snipetally.example/try/internal/site"
	"snipetally.example/try/internal/traffic"
)

// promises checks what must hold at the end of a trial.
func promises(ctx context.Context, s *site.Site, results []traffic.Result, seen *changes) []report.Guarantee {
	return []report.Guarantee{
		rightAnswers(results),
		atMostOnce(s, results),
		truthfulRefusals(s, results),
		protected(results),
		everyClass(results),
		onePreset(ctx, s, seen),
		retirement(s, seen),
		placement(ctx, s),
	}
}

func rightAnswers(results []traffic.Result) report.Guarantee {
	wrong, whole := 0, 0
	for i := range results {
		if results[i].Mismatched {
			wrong++
		}
		if results[i].Completed {
			whole++
		}
	}
	return report.Guarantee{
		Description: "each whole answer belongs to its own request",
		Held:        wrong == 0 && whole > 0,
		Detail:      fmt.Sprintf("%d wrong of %d", wrong, whole+wrong),
	}
}

// once reports whether the calls of a stream may run at most once.
func once(stream traffic.Stream) bool {
	return stream.Class == "grant" || stream.Class == "booking"
}

func atMostOnce(s *site.Site, results []traffic.Result) report.Guarantee {
	twice, checked := 0, 0
	for i := range results {
		result := &results[i]
		if !once(result.Stream) {
			continue
		}
		checked++
		if runs(s, result) > 1 {
			twice++
		}
	}
	return report.Guarantee{
		Description: "each grant and booking ran at most once",
		Held:        twice == 0 && checked > 0,
		Detail:      fmt.Sprintf("%d twice of %d", twice, checked),
	}
}

func truthfulRefusals(s *site.Site, results []traffic.Result) report.Guarantee {
	untrue, refused := 0, 0
	for i := range results {
		result := &results[i]
		if result.RunState != "no" || result.Stream.Service == "" {
			continue
		}
		refused++
		if runs(s, result) > 0 {
			untrue++
		}
	}
	return report.Guarantee{
		Description: "each call refused with run: no was not run",
		Held:        untrue == 0,
		Detail:      fmt.Sprintf("%d untrue of %d", untrue, refused),
	}
}

// runs returns how often the service ran the call of a result.
func runs(s *site.Site, result *traffic.Result) int {
	total := 0
	for _, service := range s.Services {
		if service.Name == result.Stream.Service {
			_, byKey := service.CountRuns("", result.RequestID)
			total += byKey
		}
	}
	return total
}

func protected(results []traffic.Result) report.Guarantee {
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

func everyClass(results []traffic.Result) report.Guarantee {
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

// onePreset asks every router for the preset in force.
func onePreset(ctx context.Context, s *site.Site, seen *changes) report.Guarantee {
	p := report.Guarantee{
		Description: fmt.Sprintf("the preset was in force everywhere within %v and stayed", changeBound),
		Held:        seen.switched <= changeBound,
		Detail:      fmt.Sprintf("after %v", seen.switched.Round(time.Millisecond)),
	}
	for i, router := range s.Routers {
		status, err := s.RunCommand(ctx, i, "status")
		if err != nil || !strings.Contains(status, inForce) {
			p.Held = false
			p.Detail = fmt.Sprintf("%s says: %s", router.Name(), status)
		}
	}
	return p
}

// inForce is the line of the status that names the preset.
const inForce = `"value": "` + preset + `"`

func retirement(s *site.Site, seen *changes) report.Guarantee {
	later := arrived(s) - seen.arrived
	return report.Guarantee{
		Description: fmt.Sprintf("a leaving backend server got no new work after %v", changeBound),
		Held:        later == 0 && seen.retired <= changeBound,
		Detail:      fmt.Sprintf("in force after %v, %d requests later", seen.retired.Round(time.Millisecond), later),
	}
}

// placement waits until the engine that the preset places a second model on
// serves it.
func placement(ctx context.Context, s *site.Site) report.Guarantee {
	ctx, cancel := context.WithTimeout(ctx, placementTimeout)
	defer cancel()
	p := report.Guarantee{Description: "an engine serves what the preset places on it"}
	for {
		models := s.ServedModels(placed)
		p.Detail = fmt.Sprintf("%s serves %s", placed, strings.Join(models, ", "))
		p.Held = slices.Contains(models, placedModel)
		if p.Held || sleep(ctx, pollPause) != nil {
			return p
		}
	}
}
