import { newModelList } from '../modelList';

describe('the models of an upstream', () => {
  it.each<[string, readonly (readonly string[] | undefined)[], readonly string[]]>([
    ['are those last read', [['a'], ['a', 'b']], ['a', 'b']],
    ['stay through two reads without an answer', [['a'], undefined, undefined], ['a']],
    ['are none after three', [['a'], undefined, undefined, undefined], []],
    ['come back with an answer', [['a'], undefined, undefined, undefined, ['a']], ['a']],
    ['are none when the upstream says so', [['a'], []], []],
  ])('%s', async (_, answers, expected) => {
    const left = [...answers];
    const models = newModelList(() => Promise.resolve(left.shift()));
    for (let reads = answers.length; reads > 0; reads -= 1) await models.refresh();

    expect(models.current()).toEqual(expected);
  });
});
