// Package kqpass passes requests on by the routes in force: it finds the route,
// asks a few targets for their load, sends the request to the best one, and
// gives back the whole answer of that target or says that there is none.
package kqproxy
