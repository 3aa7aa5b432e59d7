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

// minPeerKeyBytes is the minimum length of a peer key.
const minPeerKeyBytes = 16

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

// Parse parses and checks the text of a settings file. The error is an
// *InvalidError that lists every problem found.
func Parse(data []byte) (*Settings, error) {
	p := &parser{lines: indexLines(data), badLines: make(map[int]bool)}
	f, ok := p.decode(data)
	if !ok {
		return nil, &InvalidError{Problems: p.problems}
	}
	s := p.settings(f)
	if len(p.problems) > 0 {
		return nil, &InvalidError{Problems: p.problems}
	}
	return s, nil
}

// parser collects the problems of one settings file.
type parser struct {
	lines    lineIndex
	problems []Problem

	// badLines holds the lines that could not be decoded. Further problems on these
	// lines are consequences of that and are not reported.
	badLines map[int]bool
}

// problemf adds a problem with the value at a path, with its line.
func (p *parser) problemf(path, format string, args ...any) {
	line := p.lines.lineOf(path)
	if p.badLines[line] {
		return
	}
	p.problems = append(p.problems, Problem{Line: line, Path: path, Message: fmt.Sprintf(format, args...)})
}

// decode decodes the TOML text. A line that can't be decoded is reported and
// blanked, so that problems on other lines are found as well. It returns false if
// nothing more can be checked.
func (p *parser) decode(data []byte) (*file, bool) {
	textLines := bytes.SplitAfter(data, []byte("\n"))
	for {
		f := defaultFile()
		err := toml.NewDecoder(bytes.NewReader(bytes.Join(textLines, nil))).DisallowUnknownFields().Decode(&f)
		if err == nil {
			return &f, true
		}
		if missing, ok := errors.AsType[*toml.StrictMissingError](err); ok {
			for i := range missing.Errors {
				p.addDecodeProblem(&missing.Errors[i], "unknown key")
			}
			return &f, true
		}
		decodeErr, ok := errors.AsType[*toml.DecodeError](err)
		if !ok {
			p.problemf("file", "%v", err)
			return nil, false
		}
		line := p.addDecodeProblem(decodeErr, strings.TrimPrefix(decodeErr.Error(), "toml: "))
		if line < 1 || line > len(textLines) || p.badLines[line] {
			return nil, false
		}
		p.badLines[line] = true
		textLines[line-1] = []byte("\n")
	}
}

// addDecodeProblem adds a problem found by the TOML decoder and returns its line.
func (p *parser) addDecodeProblem(err *toml.DecodeError, text string) int {
	line, _ := err.Position()
	p.problems = append(p.problems, Problem{Line: line, Path: strings.Join(err.Key(), "."), Message: text})
	return line
}

// settings converts and checks a decoded file.
func (p *parser) settings(f *file) *Settings {
	plan, problems := document.Convert(f.plan())
	for _, problem := range problems {
		p.problemf(problem.Path, "%s", problem.Message)
	}
	s := &Settings{
		VM: VM{
			Name:   f.VM.Name,
			Zone:   f.VM.Zone,
			Region: f.VM.Region,
			Linger: p.duration("vm.linger", f.VM.Linger),
		},
		Caller:        p.endpoint("caller", endpointTable{f.Caller.Listen, f.Caller.Certificate, f.Caller.Key}),
		Operators:     p.endpoint("operators", f.Operators),
		Peers:         p.endpoint("peers", endpointTable{f.Peers.Listen, f.Peers.Certificate, f.Peers.Key}),
		PeerKeys:      f.Peers.Keys,
		PeerAuthority: f.Peers.Authority,
		CallerLimits: CallerLimits{
			MaxBodyBytes:     f.Caller.Body,
			MaxHeaderBytes:   f.Caller.Header,
			MaxBufferedBytes: f.Caller.Room,
			ReadTimeout:      p.duration("caller.read", f.Caller.Read),
			WriteTimeout:     p.duration("caller.write", f.Caller.Write),
		},
		Table:       p.platform("table", f.Table),
		VMList:      p.platform("list", f.List),
		ObjectStore: p.optionalPlatform("objects", f.Objects),
		LogLevel:    f.Log.Level,
		SeedName:    f.Seed,
		Seed:        f.plan(),
		Plan:        plan,
	}
	p.accounts(s, f.Accounts)
	p.check(s)
	return s
}

// duration parses a positive duration.
func (p *parser) duration(path, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		p.problemf(path, "%q is not a positive duration such as 10s", text)
		return 0
	}
	return d
}

// address checks that a text is an IP address and port.
func (p *parser) address(path, text string) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		p.problemf(path, "%q is not an IP address and port", text)
	}
}

// endpoint converts the table of an address to listen on.
func (p *parser) endpoint(path string, table endpointTable) Endpoint {
	p.address(path+".listen", table.Listen)
	if (table.Certificate == "") != (table.Key == "") {
		p.problemf(path+".certificate", "a certificate and its key belong together")
	}
	return Endpoint(table)
}

// platform converts the table of one of the platform's services.
func (p *parser) platform(path string, table platformTable) PlatformService {
	p.address(path+".address", table.Address)
	return PlatformService{Address: table.Address, Timeout: p.duration(path+".timeout", table.Timeout)}
}

// optionalPlatform is like platform for a service that may be left out.
func (p *parser) optionalPlatform(path string, table platformTable) PlatformService {
	if table.Address == "" {
		return PlatformService{}
	}
	return p.platform(path, table)
}

// accounts converts and checks the accounts. The plan must have been converted
// before, since an account names a partner.
func (p *parser) accounts(s *Settings, tables []accountTable) {
	partners := make(map[string]struct{})
	for _, partner := range s.Plan.Partners {
		partners[partner.Name] = struct{}{}
	}
	for i, table := range tables {
		path := fmt.Sprintf("account[%d]", i)
		if table.Name == "" {
			p.problemf(path+".name", "a name is needed")
		}
		if _, ok := partners[table.Partner]; table.Partner != "" && !ok {
			p.problemf(path+".partner", "there is no partner %q", table.Partner)
		}
		account := Account{Name: table.Name, Partner: table.Partner}
		for j, text := range table.Keys {
			hash, err := document.ParseKeyHash(text)
			if err != nil {
				p.problemf(fmt.Sprintf("%s.keys[%d]", path, j), "%v", err)
				continue
			}
			account.Keys = append(account.Keys, hash)
		}
		s.Accounts = append(s.Accounts, account)
	}
}

// check checks the values that are not converted.
func (p *parser) check(s *Settings) {
	for _, item := range []struct{ path, value string }{
		{"vm.name", s.VM.Name},
		{"vm.zone", s.VM.Zone},
		{"vm.region", s.VM.Region},
	} {
		if item.value == "" {
			p.problemf(item.path, "a value is needed")
		}
	}
	if (s.Peers.Certificate == "") != (s.PeerAuthority == "") {
		p.problemf("peers.authority", "a certificate and the authority that it is checked by belong together")
	}
	if len(s.PeerKeys) == 0 {
		p.problemf("peers.keys", "at least one key is needed")
	}
	for i, key := range s.PeerKeys {
		if len(key) < minPeerKeyBytes {
			p.problemf(fmt.Sprintf("peers.keys[%d]", i), "a key has at least %d characters", minPeerKeyBytes)
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
