package main

func playLong(r *record, root, folder string, trouble bool) (int, error) { return 0, nil }
