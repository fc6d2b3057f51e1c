import { expect, it } from 'vitest'
import { findWrongOutcomes } from './testTargetEnds.js'

// Guards against answers without a length or chunks that look complete although the target that sent them ended first, and
// against whole ones that are taken for broken.

it('a plain answer without framing looks complete only if it is whole, however its target ends', async () => {
	expect(await findWrongOutcomes(['/once/x', '/again/x'], false)).toEqual([])
})
