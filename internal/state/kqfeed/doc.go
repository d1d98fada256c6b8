// Package kqfeed carries accepted changes from the control hosts to the entry
// hosts. A Hub on each control host pushes changes to its subscribers. A
// Follower on each entry host holds the current view, and its lease decides
// how long the host may go on serving without a control host.
package kqfeed
