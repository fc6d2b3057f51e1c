/** Placeholder entry. */
