// Package kqsocket provides TCP socket functions that package net lacks.
package kqsocket
