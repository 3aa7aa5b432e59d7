package caller

import (
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"snipetally.example/router/internal/schedule"
)

// service handles a call to a service other than a model engine.
func (api *API) service(w http.ResponseWriter, v *inbound) *Refusal {
	name := mux.Vars(v.request)["name"]
	service, ok := v.fleet.Services[name]
	if !ok {
		return newRefusal(http.StatusNotFound, CodeService, "there is no such service")
	}
	data, refusal := api.readBody(w, v)
	if refusal != nil {
		return refusal
	}
	path := "/" + strings.TrimPrefix(strings.TrimPrefix(v.request.URL.EscapedPath(), "/service/"+name), "/")
	if query := v.request.URL.RawQuery; query != "" {
		path += "?" + query
	}
	header := v.request.Header.Clone()
	header.Del("Authorization")
	header.Del(ClassHeader)
	return api.execute(w, v, &call{
		method:        v.request.Method,
		path:          path,
		header:        header,
		body:          data,
		service:       true,
		reportsStatus: service.ReportsStatus,
		atMostOnce:    service.AtMostOnce || v.class.AtMostOnce,
	}, schedule.Request{Service: name})
}
