package site

import (
	"bytes"
	"crypto/sha256"
	_ "embed"
	"encoding/hex"
	"fmt"
	"text/template"
)

const (
	// OperatorKey is the key of the site's operator.
	OperatorKey = "operator-of-the-trial"

	peerKey = "peers-of-the-trial"
)

//go:embed plan.toml.tmpl
var planText string

var planTemplate = template.Must(template.New("plan").Funcs(template.FuncMap{"hash": HashKey}).Parse(planText))

// HashKey returns the SHA-256 hash of a key in hexadecimal.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// TeamKey returns the key of a team of the site.
func TeamKey(team string) string {
	return "key-of-" + team
}

type engineSpec struct {
	name  string
	model string
}

// engineSpecs lists the engines: three of each partner.
func engineSpecs() []engineSpec {
	var specs []engineSpec
	for i := range 3 {
		specs = append(specs, engineSpec{fmt.Sprintf("assistant-%d", i+1), "mazungumzo"})
	}
	for i := range 3 {
		specs = append(specs, engineSpec{fmt.Sprintf("lease-%d", i+1), "bhasha"})
	}
	return specs
}

// EngineModels lists the model of each engine.
func EngineModels() []string {
	var models []string
	for _, spec := range engineSpecs() {
		models = append(models, spec.model)
	}
	return models
}

// ServiceNames lists the plain services.
func ServiceNames() []string {
	return []string{"login", "plots"}
}

// RouterParams are the name and the addresses that the settings of one router
// name.
type RouterParams struct {
	Name      string
	Caller    string
	Operators string
	Peers     string
	Table     string
	List      string
	Objects   string

	// Engines and Services are the addresses of the backend servers, in the
	// order of Models and ServiceNames.
	Engines  []string
	Services []string
}

// view is what the template of the settings is filled with.
type view struct {
	RouterParams

	PeerKey  string
	Operator string
	Engines  []engineView
	Services []serviceView
}

type engineView struct {
	Name    string
	Address string
	Model   string
	Partner string
}

type serviceView struct {
	Name    string
	Address string
}

// RenderSettings returns the settings file of a router.
func RenderSettings(a RouterParams) ([]byte, error) {
	v := view{RouterParams: a, PeerKey: peerKey, Operator: OperatorKey}
	for j, spec := range engineSpecs() {
		partner := "kilele"
		if spec.model == "bhasha" {
			partner = "khetbhoomi"
		}
		v.Engines = append(v.Engines, engineView{Name: spec.name, Address: a.Engines[j], Model: spec.model, Partner: partner})
	}
	for j, name := range ServiceNames() {
		v.Services = append(v.Services, serviceView{Name: name, Address: a.Services[j]})
	}
	var out bytes.Buffer
	if err := planTemplate.Execute(&out, v); err != nil {
		return nil, fmt.Errorf("fill settings: %w", err)
	}
	return out.Bytes(), nil
}

// settings returns the settings file of router i of the site.
func (s *Site) settings(i int, caller string) ([]byte, error) {
	a := RouterParams{
		Name:      fmt.Sprintf("router-%d", i+1),
		Caller:    caller,
		Operators: loopback,
		Peers:     loopback,
		Table:     s.table,
		List:      s.list,
		Objects:   s.objects,
	}
	for _, e := range s.Engines {
		a.Engines = append(a.Engines, e.Address)
	}
	for _, v := range s.Services {
		a.Services = append(a.Services, v.Address)
	}
	return RenderSettings(a)
}
