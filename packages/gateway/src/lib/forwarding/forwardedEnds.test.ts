import { expect, it } from 'vitest'
import { findWrongOutcomes } from '../lifecycle/testTargetEnds.js'

// Guards against answers and streams without framing that look complete although their target ended first, when they come
// through another box, and against whole ones that are taken for broken.

it('an answer without framing through another box looks complete only if it is whole', async () => {
	const paths = ['/once/x', '/again/x', '/stream/x', '/resume/x']
	expect(await findWrongOutcomes(paths, true)).toEqual([])
})
