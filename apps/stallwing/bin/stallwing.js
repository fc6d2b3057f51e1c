#!/usr/bin/env node
import '../dist/main.js'
