// Package kqcaller is the stand-in of a caller: it asks which entry hosts to
// use, keeps the answer for its time, and makes calls through them.
package kqcaller
