/** Tests of the model list when reads fail. */
import { newModelList } from '../modelList';

describe('models of an upstream', () => {
  it.each<[string, readonly (readonly string[] | undefined)[], readonly string[]]>([
    ['are those last read', [['a'], ['a', 'b']], ['a', 'b']],
    ['stay after two reads without a response', [['a'], undefined, undefined], ['a']],
    ['are none after three reads without a response', [['a'], undefined, undefined, undefined], []],
    ['return with the next response', [['a'], undefined, undefined, undefined, ['a']], ['a']],
    ['are none when the upstream lists none', [['a'], []], []],
  ])('%s', async (_, responses, expected) => {
    const remaining = [...responses];
    const models = newModelList(() => Promise.resolve(remaining.shift()));
    for (let reads = responses.length; reads > 0; reads -= 1) await models.refresh();

    expect(models.current()).toEqual(expected);
  });
});
