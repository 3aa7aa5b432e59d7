package settings

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/rs/zerolog"

	"snipetally.example/router/internal/document"
)

// minPeerKey is the smallest length of a peer key in bytes.
const minPeerKey = 16

// Load reads and checks the settings file at path.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("settings file %s: %w", path, err)
	}
	return s, nil
}

// Parse checks the text of a settings file. The error is an *InvalidError that
// holds every problem found.
func Parse(data []byte) (*Settings, error) {
	p := &parser{lines: newLines(data), unread: make(map[int]bool)}
	form, ok := p.decode(data)
	if !ok {
		return nil, &InvalidError{Problems: p.problems}
	}
	s := p.settings(form)
	if len(p.problems) > 0 {
		return nil, &InvalidError{Problems: p.problems}
	}
	return s, nil
}

// parser collects the problems of one file.
type parser struct {
	lines    lines
	problems []Problem

	// unread holds the lines that could not be read. Problems that follow from
	// that are not told.
	unread map[int]bool
}

func (p *parser) problemf(place, format string, args ...any) {
	line := p.lines.find(place)
	if p.unread[line] {
		return
	}
	p.problems = append(p.problems, Problem{Line: line, Path: place, Message: fmt.Sprintf(format, args...)})
}

// decode reads the TOML text. A line that can't be read is noted and left out,
// so that the problems of the others are found, too. It reports false if
// nothing more can be checked.
func (p *parser) decode(data []byte) (*file, bool) {
	rows := bytes.SplitAfter(data, []byte("\n"))
	for {
		form := defaults()
		err := toml.NewDecoder(bytes.NewReader(bytes.Join(rows, nil))).DisallowUnknownFields().Decode(&form)
		if err == nil {
			return &form, true
		}
		if missing, ok := errors.AsType[*toml.StrictMissingError](err); ok {
			for i := range missing.Errors {
				p.decodeProblem(&missing.Errors[i], "unknown key")
			}
			return &form, true
		}
		wrong, ok := errors.AsType[*toml.DecodeError](err)
		if !ok {
			p.problemf("file", "%v", err)
			return nil, false
		}
		row := p.decodeProblem(wrong, strings.TrimPrefix(wrong.Error(), "toml: "))
		if row < 1 || row > len(rows) || p.unread[row] {
			return nil, false
		}
		p.unread[row] = true
		rows[row-1] = []byte("\n")
	}
}

// decodeProblem notes a problem of the text and returns its line.
func (p *parser) decodeProblem(err *toml.DecodeError, text string) int {
	row, _ := err.Position()
	p.problems = append(p.problems, Problem{Line: row, Path: strings.Join(err.Key(), "."), Message: text})
	return row
}

func (p *parser) settings(form *file) *Settings {
	plan, problems := document.Convert(form.plan())
	for _, problem := range problems {
		p.problemf(problem.Path, "%s", problem.Message)
	}
	s := &Settings{
		VM: VM{
			Name:   form.VM.Name,
			Zone:   form.VM.Zone,
			Region: form.VM.Region,
			Linger: p.duration("vm.linger", form.VM.Linger),
		},
		Caller:        p.endpoint("caller", endpointTable{form.Caller.Listen, form.Caller.Certificate, form.Caller.Key}),
		Operators:     p.endpoint("operators", form.Operators),
		Peers:         p.endpoint("peers", endpointTable{form.Peers.Listen, form.Peers.Certificate, form.Peers.Key}),
		PeerKeys:      form.Peers.Keys,
		PeerAuthority: form.Peers.Authority,
		CallerLimits: CallerLimits{
			MaxBodyBytes:     form.Caller.Body,
			MaxHeaderBytes:   form.Caller.Header,
			MaxBufferedBytes: form.Caller.Room,
			ReadTimeout:      p.duration("caller.read", form.Caller.Read),
			WriteTimeout:     p.duration("caller.write", form.Caller.Write),
		},
		Table:       p.platform("table", form.Table),
		VMList:      p.platform("list", form.List),
		ObjectStore: p.optional("objects", form.Objects),
		LogLevel:    form.Log.Level,
		SeedName:    form.Seed,
		Seed:        form.plan(),
		Plan:        plan,
	}
	p.accounts(s, form.Accounts)
	p.checkVM(s)
	return s
}

func (p *parser) duration(place, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		p.problemf(place, "%q is not a positive duration such as 10s", text)
		return 0
	}
	return d
}

func (p *parser) address(place, text string) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		p.problemf(place, "%q is not an IP address and port", text)
	}
}

func (p *parser) endpoint(place string, form endpointTable) Endpoint {
	p.address(place+".listen", form.Listen)
	if (form.Certificate == "") != (form.Key == "") {
		p.problemf(place+".certificate", "a certificate and its key belong together")
	}
	return Endpoint(form)
}

func (p *parser) platform(place string, form platformTable) PlatformService {
	p.address(place+".address", form.Address)
	return PlatformService{Address: form.Address, Timeout: p.duration(place+".timeout", form.Timeout)}
}

// optional reads a table that may be left out.
func (p *parser) optional(place string, form platformTable) PlatformService {
	if form.Address == "" {
		return PlatformService{}
	}
	return p.platform(place, form)
}

func (p *parser) accounts(s *Settings, forms []accountTable) {
	partners := make(map[string]struct{})
	for _, partner := range s.Plan.Partners {
		partners[partner.Name] = struct{}{}
	}
	for i, form := range forms {
		at := fmt.Sprintf("account[%d]", i)
		if form.Name == "" {
			p.problemf(at+".name", "a name is needed")
		}
		if _, ok := partners[form.Partner]; form.Partner != "" && !ok {
			p.problemf(at+".partner", "there is no partner %q", form.Partner)
		}
		account := Account{Name: form.Name, Partner: form.Partner}
		for j, text := range form.Keys {
			hash, err := document.ParseKeyHash(text)
			if err != nil {
				p.problemf(fmt.Sprintf("%s.keys[%d]", at, j), "%v", err)
				continue
			}
			account.Keys = append(account.Keys, hash)
		}
		s.Accounts = append(s.Accounts, account)
	}
}

func (p *parser) checkVM(s *Settings) {
	for _, item := range []struct{ place, value string }{
		{"vm.name", s.VM.Name},
		{"vm.zone", s.VM.Zone},
		{"vm.region", s.VM.Region},
	} {
		if item.value == "" {
			p.problemf(item.place, "a value is needed")
		}
	}
	if (s.Peers.Certificate == "") != (s.PeerAuthority == "") {
		p.problemf("peers.authority", "a certificate and the authority that it is checked by belong together")
	}
	if len(s.PeerKeys) == 0 {
		p.problemf("peers.keys", "at least one key is needed")
	}
	for i, key := range s.PeerKeys {
		if len(key) < minPeerKey {
			p.problemf(fmt.Sprintf("peers.keys[%d]", i), "a key has at least %d characters", minPeerKey)
		}
	}
	if s.CallerLimits.MaxBodyBytes <= 0 {
		p.problemf("caller.body", "%d is not above 0", s.CallerLimits.MaxBodyBytes)
	}
	if s.CallerLimits.MaxBufferedBytes < s.CallerLimits.MaxBodyBytes {
		p.problemf("caller.room", "%d is below the largest body", s.CallerLimits.MaxBufferedBytes)
	}
	if s.CallerLimits.MaxHeaderBytes <= 0 {
		p.problemf("caller.header", "%d is not above 0", s.CallerLimits.MaxHeaderBytes)
	}
	if _, err := zerolog.ParseLevel(s.LogLevel); err != nil || s.LogLevel == "" {
		p.problemf("log.level", "%q is not one of debug, info, warn, error", s.LogLevel)
	}
}
