package caller

import (
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"snipetally.example/router/internal/schedule"
)

// service answers a call of a plain service.
func (api *API) service(w http.ResponseWriter, v *inbound) *Refusal {
	name := mux.Vars(v.request)["name"]
	service, ok := v.fleet.Services[name]
	if !ok {
		return refuse(http.StatusNotFound, CodeService, "there is no such service")
	}
	data, refused := api.body(w, v)
	if refused != nil {
		return refused
	}
	path := "/" + strings.TrimPrefix(strings.TrimPrefix(v.request.URL.EscapedPath(), "/service/"+name), "/")
	if query := v.request.URL.RawQuery; query != "" {
		path += "?" + query
	}
	header := v.request.Header.Clone()
	header.Del("Authorization")
	header.Del(ClassHeader)
	return api.perform(w, v, &call{
		method:  v.request.Method,
		path:    path,
		header:  header,
		body:    data,
		service: true,
		tells:   service.ReportsStatus,
		once:    service.AtMostOnce || v.class.AtMostOnce,
	}, schedule.Request{Service: name})
}
